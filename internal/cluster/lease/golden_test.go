package lease

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// update rewrites the files under testdata/golden. Use it only to create new files: the existing ones are what older
// builds have written, and have to stay readable.
var update = flag.Bool("update", false, "rewrite the golden files")

// golden returns the content of a golden file. With -update it first writes content to the file.
func golden(t *testing.T, name string, content []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		if err := os.WriteFile(path, content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// goldenView returns a view with version 7 in force and version 9 in the stage StageIntersection.
func goldenView() *View {
	return &View{
		Cluster:  "cluster-1",
		Revision: Revision{9, StageIntersection},
		InForce:  Version{7, "n1", []byte(`{"version":7}`)},
		Next:     Version{9, "n2", []byte(`{"version":9}`)},
	}
}

func TestGoldenEntries(t *testing.T) {
	for _, x := range []struct {
		file string
		want Entry
	}{
		{"entry-identify.bin", Entry{Kind: EntryIdentify, Cluster: "cluster-1"}},
		{"entry-propose.bin", Entry{Kind: EntryPropose, Base: 3, Proposer: "n4", Table: []byte(`{"version":5}`), Exclusive: true,
			Withdraws: true, Keys: []string{"tenant.north.reservation", "out"}, OmittedKeys: 6}},
		{"entry-propose-least.bin", Entry{Kind: EntryPropose, Proposer: "n", Table: []byte("x")}},
		{"entry-advance.bin", Entry{Kind: EntryAdvance, Version: 10, TargetStage: StageIntersection, Term: 12}},
		{"entry-advance-in-force.bin", Entry{Kind: EntryAdvance, Version: 11, TargetStage: StageInForce, Term: 13}},
		{"entry-extend-lease.bin", Entry{Kind: EntryExtendLease, LeaseSeconds: 3.03125}},
		// An entry with the fields of all kinds. No build creates one, but all builds have to decode it.
		{"entry-all-fields.bin", Entry{Kind: EntryAdvance, Cluster: "cluster-2", Base: 3, Proposer: "n4", Table: []byte("table"), Exclusive: true,
			Withdraws: true, Keys: []string{"k1", "k2"}, OmittedKeys: 9, Version: 10, TargetStage: StageInForce, Term: 12, LeaseSeconds: 13.5}},
	} {
		raw, err := x.want.Marshal()
		if err != nil {
			t.Fatal(err)
		}
		file := golden(t, x.file, raw)
		if !bytes.Equal(raw, file) {
			t.Errorf("%s: encoded %x, want %x", x.file, raw, file)
		}
		if e, err := UnmarshalEntry(file); err != nil || !reflect.DeepEqual(e, x.want) {
			t.Errorf("%s: decoded %+v, %v", x.file, e, err)
		}
	}
	var unsupported *UnsupportedFormatError
	if _, err := UnmarshalEntry(golden(t, "empty.bin", nil)); !errors.As(err, &unsupported) {
		t.Errorf("decoding an empty entry: got error %v, want an *UnsupportedFormatError", err)
	}
}

func TestGoldenSnapshots(t *testing.T) {
	history := []Change{
		{Version: 7, Base: 6, Proposer: "n1", Keys: []string{"tenant.north.reservation", "out"}, OmittedKeys: 4},
		{Version: 9, Base: 8, Proposer: "n2"},
	}
	view := goldenView()
	for _, x := range []struct {
		file string
		want State
	}{
		{"snapshot.bin", State{view: view, digest: view.Digest(), longestLeaseSeconds: 3.03125, history: history}},
		{"snapshot-identified.bin", State{view: &View{Cluster: "cluster-1"}, digest: (&View{Cluster: "cluster-1"}).Digest()}},
	} {
		raw := x.want.Snapshot()
		file := golden(t, x.file, raw)
		if !bytes.Equal(raw, file) {
			t.Errorf("%s: encoded %x, want %x", x.file, raw, file)
		}
		var s State
		if err := s.Restore(file); err != nil || !reflect.DeepEqual(s, x.want) {
			t.Errorf("%s: decoded %+v, %v", x.file, s, err)
		}
	}
	var zero State
	if raw := zero.Snapshot(); !bytes.Equal(raw, golden(t, "snapshot-zero.bin", raw)) {
		t.Errorf("the zero state: encoded %x, which differs from the golden file", raw)
	}
}

func TestGoldenRequests(t *testing.T) {
	for _, x := range []struct {
		file string
		want Request
	}{
		{"request.bin", Request{Cluster: "cluster-1", Instance: "n2", Incarnation: 3, Nonce: 4, AppliedRevision: Revision{5, StageIntersection}, ViewDigest: 6}},
		{"request-first.bin", Request{Instance: "n2", Incarnation: 3}},
	} {
		raw := x.want.Marshal()
		file := golden(t, x.file, raw)
		if !bytes.Equal(raw, file) {
			t.Errorf("%s: encoded %x, want %x", x.file, raw, file)
		}
		if q, err := UnmarshalRequest(file); err != nil || q != x.want {
			t.Errorf("%s: decoded %+v, %v", x.file, q, err)
		}
	}
}

func TestGoldenGrants(t *testing.T) {
	announced := goldenView()
	announced.Revision.Stage = StageAnnounced
	inForce := &View{Cluster: "cluster-1", Revision: Revision{9, StageInForce}, InForce: announced.Next}
	for _, x := range []struct {
		file string
		want Grant
	}{
		{"grant-narrow.bin", Grant{"cluster-1", "n2", 3, 4, 5.5, Revision{9, StageIntersection}, goldenView()}},
		{"grant-announced.bin", Grant{"cluster-1", "n2", 3, 4, 5.5, Revision{9, StageAnnounced}, announced}},
		{"grant-in-force.bin", Grant{"cluster-1", "n2", 3, 4, 5.5, Revision{9, StageInForce}, inForce}},
		{"grant-no-view.bin", Grant{"cluster-1", "n2", 3, 4, 5.5, Revision{9, StageInForce}, nil}},
	} {
		raw := x.want.Marshal()
		file := golden(t, x.file, raw)
		if !bytes.Equal(raw, file) {
			t.Errorf("%s: encoded %x, want %x", x.file, raw, file)
		}
		if g, err := UnmarshalGrant(file); err != nil || !reflect.DeepEqual(g, x.want) {
			t.Errorf("%s: decoded %+v, %v", x.file, g, err)
		}
	}
}

func TestGoldenReleases(t *testing.T) {
	for _, x := range []struct {
		file string
		want Release
	}{
		{"release.bin", Release{"cluster-1", "n2", 3}},
		{"release-no-cluster.bin", Release{"", "n2", 3}},
	} {
		raw := x.want.Marshal()
		file := golden(t, x.file, raw)
		if !bytes.Equal(raw, file) {
			t.Errorf("%s: encoded %x, want %x", x.file, raw, file)
		}
		if b, err := UnmarshalRelease(file); err != nil || b != x.want {
			t.Errorf("%s: decoded %+v, %v", x.file, b, err)
		}
	}
	// Messages without an instance name are not valid.
	empty := golden(t, "empty.bin", nil)
	var corrupt *CorruptMessageError
	if _, err := UnmarshalRequest(empty); !errors.As(err, &corrupt) {
		t.Errorf("decoding an empty request: got error %v, want a *CorruptMessageError", err)
	}
	if _, err := UnmarshalGrant(empty); !errors.As(err, &corrupt) {
		t.Errorf("decoding an empty grant: got error %v, want a *CorruptMessageError", err)
	}
	if _, err := UnmarshalRelease(empty); !errors.As(err, &corrupt) {
		t.Errorf("decoding an empty release: got error %v, want a *CorruptMessageError", err)
	}
}

// Instances of different builds compare digests of views, so the digest of a view must not change.
func TestGoldenDigest(t *testing.T) {
	if d := goldenView().Digest(); d != 0x1633511d8401787d {
		t.Errorf("digest of a view: got %#x", d)
	}
	if d := (&View{}).Digest(); d != 0xa83e7f90b4c6712a {
		t.Errorf("digest of the zero view: got %#x", d)
	}
}

// The JSON of these types, which the admin page and the lab write, must not change.
func TestGoldenJSON(t *testing.T) {
	raw, err := json.Marshal(struct {
		Booking  ActiveLease
		Bounds   Bounds
		Position Revision
	}{
		ActiveLease{Instance: "n1", Incarnation: 2, AppliedRevision: Revision{3, StageIntersection}, ExpiresAt: 4.5},
		Bounds{ConflictSeconds: 1.5, PropagationSeconds: 2.5, AdvanceSeconds: 3.5, AdvanceAfterLossSeconds: 4.5, AdvanceAfterElectionSeconds: 5.5},
		Revision{6, StageInForce},
	})
	if err != nil {
		t.Fatal(err)
	}
	if file := golden(t, "admin.json", raw); !bytes.Equal(raw, file) {
		t.Errorf("encoded %s, want %s", raw, file)
	}
}
