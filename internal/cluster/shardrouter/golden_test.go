package shardrouter

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"example.org/bellstream/internal/cluster/shard"
	"example.org/bellstream/internal/cluster/shard/wire"
)

// updateGolden makes the tests rewrite the files under testdata/golden. A file that changes shows that the wire format,
// or a text that operators see, has changed.
var updateGolden = flag.Bool("update", false, "write testdata/golden anew")

// golden compares encoded bytes with a file under testdata/golden and returns the file's contents.
func golden(t *testing.T, file string, made []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", file)
	if *updateGolden {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, made, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(made, raw) {
		t.Errorf("%s: encoded\n%q\nwant\n%q", file, made, raw)
	}
	return raw
}

// TestGoldenFrames pins the bytes of frames between instances.
func TestGoldenFrames(t *testing.T) {
	ack, err := wire.Encode(0x1122334455667788, shard.Ack{Shard: 7, Epoch: 3, Origin: "a#11", Next: 5})
	if err != nil {
		t.Fatal(err)
	}
	for file, c := range map[string]struct {
		incarnation string
		flags       byte
		messages    [][]byte
	}{
		"empty.frame":    {"a#11", 0, nil},
		"greets.frame":   {"a#11", flagReply, nil},
		"flags.frame":    {"b#18446744073709551615", 0xfe, nil},
		"messages.frame": {"a#11", 0, [][]byte{ack, {}, []byte("x\xff"), bytes.Repeat([]byte("long "), 60)}},
	} {
		made := newFrame(c.incarnation, c.flags)
		for _, m := range c.messages {
			made = appendMessage(made, m)
		}
		raw := golden(t, file, made)
		got, err := parseFrame(raw)
		if want := (frame{c.incarnation, c.flags, c.messages}); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: decoded %+v, %v, want %+v", file, got, err, want)
		}
	}
}

// TestGoldenStatus pins the JSON of the admin status.
func TestGoldenStatus(t *testing.T) {
	s := Status{
		Incarnation:        "a#11",
		Shards:             1,
		Owned:              2,
		Sealed:             3,
		Jobs:               4,
		PendingGrants:      5,
		LocalJobs:          6,
		UnresponsiveOwners: 7,
		Counters:           map[string]uint64{"moves begun": 8},
	}
	made, err := json.MarshalIndent(s, "", "\t")
	if err != nil {
		t.Fatal(err)
	}
	golden(t, "status.json", made)
}

// TestGoldenCounters pins the names of counters: they are keys of the admin status.
func TestGoldenCounters(t *testing.T) {
	names := []string{
		countAnsweredLocally,
		countAttemptsNotGranted,
		countMismatches,
		countDecisionsNotGranted,
		countCorruptFrames,
		countFramesNotSent,
		countStaleFrames,
		countGrantsResent,
		countGrantsReturned,
		countGrantsDeclined,
		countGrantsWaived,
		countExpiredJobs,
		countIncarnations,
		countReconciled,
		countInvalidMessages,
		countMessagesNotEncoded,
		countMessagesUnknownPeer,
		countMessagesDropped,
		countTransfersBegun,
		countTransfersTimedOut,
		countTransfersAborted,
		countChunksRejected,
		countRejectedByFullOwner,
		countOpenedWithSnapshot,
		countOpened,
		countRenewed,
		countOwnersUnresponsive,
		countShardsStarted,
		countUpdatesDeferred,
		countUpdatesResent,
		countRejectedOnArrival,
	}
	golden(t, "counters.txt", []byte(strings.Join(names, "\n")+"\n"))
}
