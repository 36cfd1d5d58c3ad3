package consensus

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"example.org/bellstream/internal/cluster/consensus/wire"
)

var update = flag.Bool("update", false, "write the files under testdata/golden anew")

const (
	goldenName    = "voter-a"
	goldenCluster = "east"
)

func sequentialSeed(first byte) []byte {
	b := make([]byte, wire.SeedLen)
	for i := range b {
		b[i] = first + byte(i)
	}
	return b
}

func goldenSnapshotData(data string) []byte {
	raw, _ := proto.MarshalOptions{Deterministic: true}.Marshal(&wire.SnapshotState{
		Members: []*wire.Member{
			{Name: "voter-a", Address: "10.0.0.1:7000", Seed: sequentialSeed(0x10)},
			{Name: "voter-b", Address: "10.0.0.2:7001", Seed: sequentialSeed(0x40)},
		},
		RemovedNames: []string{"voter-x"},
		Data:         []byte(data),
	})
	return raw
}

func goldenConfState() *raftpb.ConfState {
	return raftpb.EnsureConfState(&raftpb.ConfState{Voters: []uint64{wire.NodeID("voter-a"), wire.NodeID("voter-b")}})
}

func goldenEntry(index, term uint64, kind raftpb.EntryType, data []byte) *raftpb.Entry {
	return &raftpb.Entry{Index: &index, Term: &term, Type: kind.Enum(), Data: data}
}

// goldenEntries returns two proposals, a leader's first entry and a change of voters.
func goldenEntries() []*raftpb.Entry {
	context, _ := proto.Marshal(&wire.VoterChange{Incarnation: 0x1112131415161718, Sequence: 19,
		Member: &wire.Member{Name: "voter-c", Address: "10.0.0.3:7002", Seed: sequentialSeed(0x70)}})
	change, _ := proto.Marshal(&raftpb.ConfChange{Type: raftpb.ConfChangeAddNode.Enum(), NodeId: new(wire.NodeID("voter-c")), Context: context})
	return []*raftpb.Entry{
		goldenEntry(2, 3, raftpb.EntryNormal, wire.EncodeProposal(0x2122232425262728, 29, []byte("first"))),
		goldenEntry(3, 3, raftpb.EntryNormal, wire.EncodeProposal(0x2122232425262728, 30, []byte("second"))),
		goldenEntry(4, 4, raftpb.EntryNormal, nil),
		goldenEntry(5, 4, raftpb.EntryConfChange, change),
	}
}

// writeGoldenFile writes a voter's file: the voter joins a cluster, replaces two
// entries of a former leader by new ones, and replaces the first two of its four
// entries by a snapshot.
func writeGoldenFile(t *testing.T, dir string) {
	t.Helper()
	store, err := openStorage(dir, goldenName, goldenCluster)
	if err != nil {
		t.Fatal(err)
	}
	defer store.close()
	store.owner.Seed = sequentialSeed(0x10) // instead of a random seed
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	must(store.saveIdentity(wire.Identity(sequentialSeed(0xa0)), &raftpb.Snapshot{
		Data:     goldenSnapshotData("before any entry"),
		Metadata: &raftpb.SnapshotMetadata{ConfState: goldenConfState(), Index: new(uint64(1)), Term: new(uint64(1))},
	}))
	hard := func(term, vote, commit uint64) *raftpb.HardState {
		return &raftpb.HardState{Term: &term, Vote: &vote, Commit: &commit}
	}
	list := goldenEntries()
	dropped := goldenEntry(5, 3, raftpb.EntryNormal, wire.EncodeProposal(9, 9, []byte("dropped")))
	must(store.saveReady(raft.Ready{HardState: hard(3, wire.NodeID("voter-b"), 2), Entries: []*raftpb.Entry{list[0], list[1],
		goldenEntry(4, 3, raftpb.EntryNormal, wire.EncodeProposal(9, 8, []byte("dropped"))), dropped}}))
	must(store.saveReady(raft.Ready{HardState: hard(4, wire.NodeID("voter-a"), 3), Entries: list[2:3]}))
	must(store.saveReady(raft.Ready{HardState: hard(4, wire.NodeID("voter-a"), 4), Entries: list[3:]}))
	must(store.saveSnapshot(3, goldenSnapshotData("after two entries"), 0))
	must(store.probeSpace())
}

// dumpFile returns a listing of a file's buckets, keys and values. It leaves out the
// page layout, which depends on the database library.
func dumpFile(t *testing.T, path string) string {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	var b strings.Builder
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, bucket *bbolt.Bucket) error {
			fmt.Fprintf(&b, "bucket %s\n", name)
			return bucket.ForEach(func(k, v []byte) error {
				value := fmt.Sprintf("%x", v)
				if strings.Trim(value, "0") == "" {
					value = fmt.Sprintf("%d zeros", len(v))
				}
				_, err := fmt.Fprintf(&b, "%q %s\n", k, value)
				return err
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return b.String()
}

func copyFile(t *testing.T, to, from string) {
	t.Helper()
	raw, err := os.ReadFile(from)
	if err == nil {
		err = os.WriteFile(to, raw, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// TestGoldenFile checks the format of a voter's file: log, snapshot, hard state and
// identity.
func TestGoldenFile(t *testing.T) {
	goldenPath := filepath.Join("testdata", "golden", "accord.db")
	listing := filepath.Join("testdata", "golden", "accord.txt")
	dir := t.TempDir()
	writeGoldenFile(t, dir)
	written := dumpFile(t, filepath.Join(dir, "accord.db"))
	if *update {
		if err := os.MkdirAll(filepath.Dir(goldenPath), 0o755); err != nil {
			t.Fatal(err)
		}
		copyFile(t, goldenPath, filepath.Join(dir, "accord.db"))
		if err := os.WriteFile(listing, []byte(written), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(listing)
	if err != nil {
		t.Fatal(err)
	}
	if written != string(want) {
		t.Errorf("written:\n%s\nwant:\n%s", written, want)
	}
	old := t.TempDir()
	copyFile(t, filepath.Join(old, "accord.db"), goldenPath)
	if got := dumpFile(t, filepath.Join(old, "accord.db")); got != string(want) {
		t.Errorf("content of the golden file: got\n%s\nwant\n%s", got, want)
	}
	store, err := openStorage(old, goldenName, goldenCluster)
	if err != nil {
		t.Fatal(err)
	}
	defer store.close()
	wantOwner := &wire.FileOwner{FormatVersion: 1, Name: "voter-a", Cluster: "east", Seed: sequentialSeed(0x10), Identity: sequentialSeed(0xa0)}
	if !proto.Equal(store.owner, wantOwner) {
		t.Errorf("file owner: got %v", store.owner)
	}
	hard, conf, _ := store.InitialState()
	if hard.GetTerm() != 4 || hard.GetVote() != wire.NodeID("voter-a") || hard.GetCommit() != 4 {
		t.Errorf("hard state: got %v", hard)
	}
	snap, err := store.Snapshot()
	if err != nil || string(snap.GetData()) != string(goldenSnapshotData("after two entries")) || snap.GetMetadata().GetIndex() != 3 ||
		snap.GetMetadata().GetTerm() != 3 || !proto.Equal(raftpb.EnsureConfState(conf), goldenConfState()) {
		t.Errorf("snapshot: got %v, configuration %v, error %v", snap, conf, err)
	}
	list, err := store.Entries(4, 6, 1<<30)
	if err != nil || len(list) != 2 {
		t.Fatalf("entries 4 and 5: got %v, error %v", list, err)
	}
	for i, e := range goldenEntries()[2:] {
		if !proto.Equal(list[i], e) {
			t.Errorf("entry %d: got %v, want %v", e.GetIndex(), list[i], e)
		}
	}
}

// TestGoldenStatus checks the names and values of the status as JSON, which operators
// use.
func TestGoldenStatus(t *testing.T) {
	s := Status{
		Name: "voter-a", Cluster: "east", Identity: "a0a1", State: StateVoting, Reason: "why", IsLeader: true, Leader: "voter-b",
		LeaderAddress: "10.0.0.2:7001", Term: 4, AppliedIndex: 5, Voters: map[string]string{"voter-a": "10.0.0.1:7000"},
		Connected: []string{"voter-b"}, Proposals: 6, Reads: 7, Forwarded: 8, Snapshots: 9, SentBytes: 10, SnapshotError: "trouble",
		Drops: map[string]uint64{"inbox full": 11},
	}
	raw, err := json.Marshal([]any{s, Status{}, []VoterState{StateDiscovering, StateNotMember, StateVoting, StateDiskFull, StateDataLost, StateRemoved, StateFailed}})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join("testdata", "golden", "status.json")
	if *update {
		if err := os.WriteFile(path, raw, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(raw) != string(want) {
		t.Errorf("got\n%s\nwant\n%s", raw, want)
	}
	// The reasons for dropping frames are label values of a metric.
	reasons := []string{dropOutboxFull, dropInboxFull, dropWrongIdentity, dropUnknownSender, dropWrongRecipient, dropNotVoting, dropTooManyConnections, dropLateResponse}
	for _, err := range []error{wire.ErrChecksum, wire.ErrMalformed, wire.ErrWrongCluster, wire.ErrUnsupportedVersion, wire.ErrTooLarge} {
		reasons = append(reasons, err.Error())
	}
	const labels = "outbox full|inbox full|of another identity|sender unknown|meant for another voter|does not vote here|" +
		"too many connections|answer too late|damaged on the way|garbled|of another cluster|needs a newer build|too large"
	if got := strings.Join(reasons, "|"); got != labels {
		t.Errorf("reasons for dropping frames: got %s", got)
	}
}
