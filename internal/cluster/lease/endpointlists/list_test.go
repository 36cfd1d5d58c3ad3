package endpointlists

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

func TestListsConverge(t *testing.T) {
	for seed := range uint64(200) {
		simulate(t, seed, 12, 0)
	}
	for seed := range uint64(4) {
		simulate(t, seed, 3*MaxChunkBytes/MaxDataBytes, MaxDataBytes/2) // lists of two chunks
	}
}

func entry(id string) Entry { return Entry{ID: id, Data: []byte(id)} }

func TestNewDiscoveryEpoch(t *testing.T) {
	a, b := New(1), New(1)
	for _, l := range []*List{a, b} {
		l.SetEpoch(1)
		l.ApplyUpdate(Update{Seq: 100, Snapshot: true, Entries: []Entry{entry("w1")}})
	}
	var reset *SequenceResetError
	if _, err := a.ApplyUpdate(Update{Seq: 3, Snapshot: true, Entries: []Entry{entry("w2")}}); !errors.As(err, &reset) || reset.Known.Seq != 100 {
		t.Error(err)
	}
	var invalid *InvalidUpdateError
	if _, err := a.ApplyUpdate(Update{Seq: 101, Entries: []Entry{entry("w3")}}); !errors.As(err, &invalid) {
		t.Errorf("got %v: changes of a new epoch must not be applied to a list of the old one", err)
	}
	if reopen := a.SetEpoch(2); !reopen || a.SetEpoch(2) {
		t.Error("only the first call of SetEpoch with an epoch may ask to reopen the watch")
	}
	changed, err := a.ApplyUpdate(Update{Seq: 4, Snapshot: true, Entries: []Entry{entry("w2")}})
	if err != nil || len(changed) != 2 || a.Version() != (Version{2, 4}) {
		t.Errorf("first snapshot of a new epoch: got changes %v, error %v, version %v", changed, err, a.Version())
	}
	// A list of a higher epoch than that of the configuration is ignored.
	if _, ok := b.ReceiveVersion(0, "a", a.Version()); ok {
		t.Error("requested a list of an unknown epoch")
	}
	result, _ := b.ApplyChunk(0, "a", a.ChunkSince(ChunkRequest{Version: b.Version()}))
	if result.Changed != nil || b.Version() != (Version{1, 100}) {
		t.Error("applied a list of an unknown epoch")
	}
	b.SetEpoch(2)
	request, ok := b.ReceiveVersion(0, "a", a.Version())
	result, err = b.ApplyChunk(0, "a", a.ChunkSince(request))
	if !ok || err != nil || len(result.Changed) != 2 || b.Version() != a.Version() {
		t.Errorf("list of the new epoch from a peer: got requested %v, changes %v, error %v", ok, result.Changed, err)
	}
	// Changes from its own watch, which is still of the old epoch, are rejected.
	if _, err := b.ApplyUpdate(Update{Seq: 102, Entries: []Entry{entry("w1")}}); !errors.As(err, &invalid) || b.Version() != a.Version() {
		t.Error(err)
	}
}

func TestLimits(t *testing.T) {
	many := Update{Seq: 1, Snapshot: true}
	for i := range MaxEntries {
		many.Entries = append(many.Entries, entry(fmt.Sprintf("w%05d", i)))
	}
	l, other := New(1), New(1)
	if _, err := l.ApplyUpdate(many); err != nil {
		t.Fatal(err)
	}
	before := l.ChunkSince(ChunkRequest{})
	for _, u := range []Update{
		{Seq: 2, Entries: []Entry{entry("one more")}},
		{Seq: 2, Entries: []Entry{entry("twice"), entry("twice")}},
		{Seq: 2, Entries: []Entry{{ID: "large", Data: make([]byte, MaxDataBytes+1)}}},
		{Seq: 2, Entries: []Entry{{ID: strings.Repeat("x", MaxIDBytes+1)}}},
		{Seq: 2, Entries: []Entry{{}}},
		{Entries: []Entry{entry("w00000")}},
	} {
		var invalid *InvalidUpdateError
		if _, err := l.ApplyUpdate(u); !errors.As(err, &invalid) || l.Version().Seq != 1 {
			t.Errorf("invalid update: got error %v, version %v", err, l.Version())
		}
	}
	if before.Last || len(before.Entries) > MaxChunkEntries {
		t.Errorf("got a first chunk of %d entries, want at most MaxChunkEntries and not the last", len(before.Entries))
	}
	for _, c := range []Chunk{
		{Version: Version{0, 3}, Entries: []Entry{{ID: "b", Seq: 1}, {ID: "a", Seq: 1}}, Last: true},
		{Version: Version{0, 3}, Entries: []Entry{{ID: "a", Seq: 4}}, Last: true},
		{Version: Version{0, 3}, BaseSeq: 2, Entries: []Entry{{ID: "a", Seq: 2}}, Last: true},
		{Version: Version{0, 3}, Entries: []Entry{{ID: "a", Seq: 1, Deleted: true}}, Last: true},
		{Version: Version{0, 3}},
	} {
		var invalid *InvalidUpdateError
		if _, err := other.ApplyChunk(0, "x", c); !errors.As(err, &invalid) || other.Version() != (Version{}) {
			t.Errorf("applying %+v: got error %v, want an *InvalidUpdateError", c, err)
		}
	}
	// When tombstones are pruned, the changes since older versions are no longer known.
	deletions := Update{Seq: 2}
	for _, e := range many.Entries[:MaxTombstones+1] {
		deletions.Entries = append(deletions.Entries, Entry{ID: e.ID, Deleted: true})
	}
	l.ApplyUpdate(deletions)
	if c := l.ChunkSince(ChunkRequest{Version: Version{0, 1}}); c.BaseSeq != 0 || len(l.entries) != MaxEntries-MaxTombstones-1 {
		t.Errorf("after pruning: got changes since version %d, want the complete list; %d entries are kept", c.BaseSeq, len(l.entries))
	}
}
