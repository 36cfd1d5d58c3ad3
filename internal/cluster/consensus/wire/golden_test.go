package wire

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

var update = flag.Bool("update", false, "write the files under testdata/golden anew")

const goldenCluster = 0x0102030405060708

func sequentialSeed(first byte) []byte {
	b := make([]byte, SeedLen)
	for i := range b {
		b[i] = first + byte(i)
	}
	return b
}

func goldenMembers() []*Member {
	return []*Member{
		{Name: "voter-a", Address: "10.0.0.1:7000", Seed: sequentialSeed(0x10)},
		{Name: "voter-b", Address: "10.0.0.2:7001", Seed: sequentialSeed(0x40)},
	}
}

func goldenConfChange() []byte {
	m := &Member{Name: "voter-c", Address: "10.0.0.3:7002", Seed: sequentialSeed(0x70)}
	context, _ := proto.Marshal(&VoterChange{Incarnation: 0x1112131415161718, Sequence: 19, Member: m})
	raw, _ := proto.Marshal(&raftpb.ConfChange{
		Type: raftpb.ConfChangeAddNode.Enum(), NodeId: new(NodeID("voter-c")), Context: context, Id: new(uint64(77)),
	})
	return raw
}

func goldenSnapshot() *raftpb.Snapshot {
	raw, _ := proto.Marshal(&SnapshotState{Members: goldenMembers(), RemovedNames: []string{"voter-x", "voter-y"}, Data: []byte("application state")})
	return &raftpb.Snapshot{
		Data: raw,
		Metadata: &raftpb.SnapshotMetadata{
			ConfState: &raftpb.ConfState{Voters: []uint64{NodeID("voter-a"), NodeID("voter-b")}},
			Index:     new(uint64(31)),
			Term:      new(uint64(4)),
		},
	}
}

func goldenRaftMessage(kind raftpb.MessageType) *raftpb.Message {
	return &raftpb.Message{
		Type: kind.Enum(), From: new(NodeID("voter-a")), To: new(NodeID("voter-b")), Term: new(uint64(5)),
		LogTerm: new(uint64(3)), Index: new(uint64(40)), Commit: new(uint64(39)), Vote: new(uint64(2)),
		Reject: new(true), RejectHint: new(uint64(38)), Context: []byte("context"),
	}
}

// goldenFrames returns, by file name, a frame of each kind with every field set and one
// with the fewest fields that are accepted.
func goldenFrames() map[string]Frame {
	id := Identity(sequentialSeed(0xa0))
	entries := goldenRaftMessage(raftpb.MsgApp)
	entries.Entries = []*raftpb.Entry{
		entry(41, 3, raftpb.EntryNormal, EncodeProposal(0x2122232425262728, 29, []byte("proposal"))),
		entry(42, 4, raftpb.EntryNormal, nil),
		entry(43, 5, raftpb.EntryConfChange, goldenConfChange()),
	}
	snap := goldenRaftMessage(raftpb.MsgSnap)
	snap.Snapshot = goldenSnapshot()
	all := map[string]Frame{
		"hello": {Identity: id, Handshake: &Handshake{
			Name: "voter-a", Recipient: "voter-b", Address: "10.0.0.1:7000", Voter: true, Seed: sequentialSeed(0x10), VoterSetDigest: 0x3132333435363738,
			ReplyRequested: true, Leader: "voter-b", LeaderAddress: "10.0.0.2:7001", Term: 5, AppliedIndex: 43, Members: goldenMembers(), RecipientRemoved: true,
		}},
		"hello-empty":    {Handshake: &Handshake{Name: "i"}}, // a name is required
		"raft-entries":   {Identity: id, Raft: entries},
		"raft-snapshot":  {Identity: id, Raft: snap},
		"raft-empty":     {Raft: &raftpb.Message{Type: raftpb.MsgHeartbeat.Enum(), Term: new(uint64(1))}}, // a term is required
		"question":       {Identity: id, Request: &Request{Id: 51, From: "instance-i", Forwarded: true, Payload: []byte("question")}},
		"question-empty": {Request: &Request{}},
		"answer": {Identity: id, Response: &Response{
			Id: 51, Result: Response_UNAVAILABLE, Payload: []byte("answer"), Leader: "voter-b", LeaderAddress: "10.0.0.2:7001", Reason: "no room",
		}},
		"answer-empty": {Response: &Response{}},
		"ping":         {Identity: id, Ping: &Ping{}},
		"ping-empty":   {Ping: &Ping{}},
	}
	for name, kind := range map[string]raftpb.MessageType{
		"raft-append-response":    raftpb.MsgAppResp,
		"raft-vote":               raftpb.MsgVote,
		"raft-vote-response":      raftpb.MsgVoteResp,
		"raft-prevote":            raftpb.MsgPreVote,
		"raft-prevote-response":   raftpb.MsgPreVoteResp,
		"raft-heartbeat":          raftpb.MsgHeartbeat,
		"raft-heartbeat-response": raftpb.MsgHeartbeatResp,
		"raft-timeout-now":        raftpb.MsgTimeoutNow,
	} {
		all[name] = Frame{Identity: id, Raft: goldenRaftMessage(kind)}
	}
	return all
}

// goldenContent returns the content of a golden file. With -update, it first writes
// encoded to the file.
func goldenContent(t *testing.T, name string, encoded []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, encoded, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func equalFrames(a, b Frame) bool {
	return a.Identity == b.Identity && proto.Equal(a.Handshake, b.Handshake) && proto.Equal(a.Raft, b.Raft) &&
		proto.Equal(a.Request, b.Request) && proto.Equal(a.Response, b.Response) && proto.Equal(a.Ping, b.Ping)
}

// TestGoldenFrames checks the encoding of every kind of message, including its framing.
func TestGoldenFrames(t *testing.T) {
	for name, want := range goldenFrames() {
		encoded := Encode(goldenCluster, want)
		raw := goldenContent(t, name+".frame", encoded)
		if !bytes.Equal(raw, encoded) {
			t.Errorf("%s is encoded as\n%x, the file has\n%x", name, encoded, raw)
		}
		got, err := Decode(goldenCluster, raw)
		if err != nil || !equalFrames(got, want) {
			t.Errorf("%s is decoded as %+v, %v", name, got, err)
		}
	}
	files, err := os.ReadDir(filepath.Join("testdata", "golden"))
	if err != nil {
		t.Fatal(err)
	}
	frames := 0
	for _, f := range files {
		if filepath.Ext(f.Name()) == ".frame" {
			frames++
		}
	}
	if frames != len(goldenFrames()) {
		t.Errorf("got %d frame files, want %d", frames, len(goldenFrames()))
	}
}

// TestGoldenRecords checks the encoding of the messages that occur only in a voter's
// file.
func TestGoldenRecords(t *testing.T) {
	for name, c := range map[string]struct{ want, got proto.Message }{
		"self": {&FileOwner{FormatVersion: 1, Name: "voter-a", Cluster: "east", Seed: sequentialSeed(0x10), Identity: sequentialSeed(0xa0)}, &FileOwner{}},
		"mark": {&LogState{Term: 5, Vote: 6, Commit: 41, LastIndex: 43, LastTerm: 4}, &LogState{}},
		"state": {&SnapshotState{Members: goldenMembers(), RemovedNames: []string{"voter-x", "voter-y"}, Data: []byte("application state")},
			&SnapshotState{}},
		"state-no-data": {&SnapshotState{Members: goldenMembers()}, &SnapshotState{}},
		"change": {&VoterChange{Incarnation: 0x1112131415161718, Sequence: 19, Member: &Member{Name: "voter-c", Address: "10.0.0.3:7002", Seed: sequentialSeed(0x70)}},
			&VoterChange{}},
		"self-empty": {&FileOwner{}, &FileOwner{}},
		"mark-empty": {&LogState{}, &LogState{}},
	} {
		encoded, err := proto.Marshal(c.want)
		if err != nil {
			t.Fatal(err)
		}
		raw := goldenContent(t, name+".record", encoded)
		if !bytes.Equal(raw, encoded) {
			t.Errorf("%s is encoded as\n%x, the file has\n%x", name, encoded, raw)
		}
		if err := proto.Unmarshal(raw, c.got); err != nil || !proto.Equal(c.got, c.want) {
			t.Errorf("%s is decoded as %v, %v", name, c.got, err)
		}
	}
	// Empty data differs from absent data.
	empty := &SnapshotState{Data: []byte{}}
	encoded, _ := proto.Marshal(empty)
	got := &SnapshotState{}
	if raw := goldenContent(t, "state-empty-data.record", encoded); !bytes.Equal(raw, encoded) || proto.Unmarshal(raw, got) != nil || got.Data == nil {
		t.Errorf("empty data: encoded as %x, decoded as %v, want Data to be present", encoded, got)
	}
}

// TestGoldenDigests checks the digests that voters compute from names and seeds: all
// builds have to compute the same values.
func TestGoldenDigests(t *testing.T) {
	const (
		cluster  = 0xbead0ca03df5b2be
		voter    = 0x151708c5ebe39f74
		voters   = 0xbc26b9becfe3cb58
		identity = "98c60959c086824cd099077505edf1b4"
	)
	if got := ClusterDigest("east"); got != cluster {
		t.Errorf("cluster digest: got %#x", got)
	}
	if got := NodeID("voter-a"); got != voter {
		t.Errorf("node ID: got %#x", got)
	}
	if got := VoterSetDigest([]string{"voter-b", "voter-a"}); got != voters {
		t.Errorf("voter set digest: got %#x", got)
	}
	if got := NewIdentity("east", goldenMembers()).String(); got != identity {
		t.Errorf("identity: got %s", got)
	}
}
