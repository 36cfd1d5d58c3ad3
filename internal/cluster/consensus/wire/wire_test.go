package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"math"
	"testing"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"example.org/bellstream/internal/cluster/mesh/peerconn"
)

func zeroSeed() []byte { return make([]byte, SeedLen) }

func sampleSnapshot() *raftpb.Snapshot {
	data, _ := proto.Marshal(&SnapshotState{
		Members: []*Member{{Name: "a", Address: "a:1", Seed: zeroSeed()}},
		Data:    []byte("x"),
	})
	return &raftpb.Snapshot{
		Data: data,
		Metadata: &raftpb.SnapshotMetadata{
			ConfState: &raftpb.ConfState{Voters: []uint64{NodeID("a")}},
			Index:     new(uint64(3)),
			Term:      new(uint64(1)),
		},
	}
}

func snapshotMessage(s *raftpb.Snapshot) *raftpb.Message {
	return &raftpb.Message{Type: raftpb.MsgSnap.Enum(), Term: new(uint64(2)), Snapshot: s}
}

func sampleVoterChange(kind raftpb.ConfChangeType, name string) []byte {
	context, _ := proto.Marshal(&VoterChange{
		Incarnation: 1,
		Sequence:    2,
		Member:      &Member{Name: name, Address: "b:1", Seed: zeroSeed()},
	})
	data, _ := proto.Marshal(&raftpb.ConfChange{Type: kind.Enum(), NodeId: new(NodeID("b")), Context: context})
	return data
}

func entry(index, term uint64, kind raftpb.EntryType, data []byte) *raftpb.Entry {
	return &raftpb.Entry{Index: &index, Term: &term, Type: kind.Enum(), Data: data}
}

func appendMessage(entries ...*raftpb.Entry) *raftpb.Message {
	return &raftpb.Message{
		Type:    raftpb.MsgApp.Enum(),
		From:    new(NodeID("a")),
		To:      new(NodeID("b")),
		Term:    new(uint64(2)),
		Index:   new(uint64(4)),
		LogTerm: new(uint64(1)),
		Entries: entries,
	}
}

// sampleFrames returns one valid frame of each kind.
func sampleFrames() []Frame {
	id := Identity{1, 2}
	return []Frame{
		{Handshake: &Handshake{
			Name:      "a",
			Recipient: "b",
			Address:   "a:1",
			Voter:     true,
			Seed:      zeroSeed(),
			Members:   []*Member{{Name: "a", Seed: zeroSeed()}},
		}},
		{Identity: id, Raft: appendMessage(
			entry(5, 1, raftpb.EntryNormal, EncodeProposal(1, 2, []byte("x"))),
			entry(6, 2, raftpb.EntryNormal, nil),
			entry(7, 2, raftpb.EntryConfChange, sampleVoterChange(raftpb.ConfChangeAddNode, "b")),
		)},
		{Identity: id, Raft: snapshotMessage(sampleSnapshot())},
		{Identity: id, Request: &Request{Id: 1, From: "i", Payload: []byte("q")}},
		{Identity: id, Response: &Response{Id: 1, Result: Response_NOT_LEADER, Leader: "a", LeaderAddress: "a:1"}},
		{Identity: id, Ping: &Ping{}},
	}
}

// sealBody returns a frame with a valid header for any body.
func sealBody(body []byte) []byte {
	frame := append(make([]byte, peerconn.HeaderLen), body...)
	peerconn.SealFrame(frame)
	return frame
}

func TestRoundTrip(t *testing.T) {
	for _, f := range sampleFrames() {
		encoded := Encode(7, f)
		got, err := Decode(7, encoded)
		if err != nil || got.Identity != f.Identity || !bytes.Equal(Encode(7, got), encoded) {
			t.Errorf("%+v is decoded as %+v, %v", f, got, err)
		}
		if _, err := Decode(8, encoded); !errors.Is(err, ErrWrongCluster) {
			t.Errorf("decoding another cluster's frame: got %v, want ErrWrongCluster", err)
		}
		encoded[(peerconn.HeaderLen+len(encoded))/2] ^= 8
		if _, err := Decode(7, encoded); !errors.Is(err, ErrChecksum) {
			t.Errorf("decoding a frame with a flipped bit: got %v, want ErrChecksum", err)
		}
	}
	incarnation, sequence, data, ok := DecodeProposal(EncodeProposal(1, 2, []byte("x")))
	if incarnation != 1 || sequence != 2 || string(data) != "x" || !ok {
		t.Errorf("decoded proposal: got incarnation %d, sequence %d, data %q, ok %v", incarnation, sequence, data, ok)
	}
	if Encode(7, Frame{Request: &Request{Payload: make([]byte, MaxFrameBytes)}}) != nil {
		t.Error("a frame beyond MaxFrameBytes was encoded, want nil")
	}
}

func TestInvalidMessagesAreRejected(t *testing.T) {
	normal := func(index, term uint64, data []byte) *raftpb.Entry {
		return entry(index, term, raftpb.EntryNormal, data)
	}
	confChange := func(data []byte) *raftpb.Message {
		return appendMessage(entry(5, 2, raftpb.EntryConfChange, data))
	}
	modified := func(m *raftpb.Message, modify func(*raftpb.Message)) *raftpb.Message {
		modify(m)
		return m
	}
	withSnapshot := func(modify func(*raftpb.Snapshot)) *raftpb.Message {
		s := sampleSnapshot()
		modify(s)
		return snapshotMessage(s)
	}
	for name, m := range map[string]*raftpb.Message{
		"local message":    {Type: raftpb.MsgHup.Enum(), Term: new(uint64(2))},
		"storage message":  {Type: raftpb.MsgStorageAppend.Enum(), Term: new(uint64(2))},
		"proposal":         {Type: raftpb.MsgProp.Enum(), Term: new(uint64(2)), Entries: []*raftpb.Entry{normal(1, 1, nil)}},
		"no term":          {Type: raftpb.MsgVote.Enum()},
		"entries in vote":  modified(appendMessage(normal(5, 2, nil)), func(m *raftpb.Message) { m.Type = raftpb.MsgVote.Enum() }),
		"index gap":        appendMessage(normal(6, 2, nil)),
		"decreasing term":  appendMessage(normal(5, 2, nil), normal(6, 1, nil)),
		"term too high":    appendMessage(normal(5, 3, nil)),
		"large entry":      appendMessage(normal(5, 2, make([]byte, MaxProposalBytes+ProposalHeaderLen+1))),
		"short header":     appendMessage(normal(5, 2, make([]byte, 3))),
		"joint change":     appendMessage(entry(5, 2, raftpb.EntryConfChangeV2, nil)),
		"change, no proto": confChange([]byte{0xff}),
		"change, misnamed": confChange(sampleVoterChange(raftpb.ConfChangeAddNode, "c")),
		"change, learner":  confChange(sampleVoterChange(raftpb.ConfChangeAddLearnerNode, "b")),
		"snapshot, none":   {Type: raftpb.MsgSnap.Enum(), Term: new(uint64(2))},
		"snapshot, voters": withSnapshot(func(s *raftpb.Snapshot) {
			s.Metadata.ConfState.Voters = []uint64{NodeID("a"), 5}
		}),
		"snapshot, learner": withSnapshot(func(s *raftpb.Snapshot) { s.Metadata.ConfState.Learners = []uint64{5} }),
		"snapshot, term":    withSnapshot(func(s *raftpb.Snapshot) { s.Metadata.Term = new(uint64(3)) }),
		"snapshot, data":    withSnapshot(func(s *raftpb.Snapshot) { s.Data = []byte{0xff} }),
		"snapshot, large":   withSnapshot(func(s *raftpb.Snapshot) { s.Data = make([]byte, MaxSnapshotBytes+1) }),
		"snapshot in append": modified(appendMessage(), func(m *raftpb.Message) {
			m.Snapshot = sampleSnapshot()
		}),
		"long context": modified(appendMessage(), func(m *raftpb.Message) { m.Context = make([]byte, maxContextBytes+1) }),
		"responses":    modified(appendMessage(), func(m *raftpb.Message) { m.Responses = []*raftpb.Message{{}} }),
	} {
		if validRaftMessage(m) {
			t.Errorf("raft message, %s: got accepted, want rejected", name)
		}
	}
	for name, h := range map[string]*Handshake{
		"no name":          {},
		"no seed":          {Name: "a", Voter: true},
		"long name":        {Name: string(make([]byte, MaxNameBytes+1))},
		"too many members": {Name: "a", Members: make([]*Member, MaxMembers+1)},
		"invalid member":   {Name: "a", Members: []*Member{{Name: "b"}}},
	} {
		if validHandshake(h) {
			t.Errorf("handshake, %s: got accepted, want rejected", name)
		}
	}
}

func TestNewerVersionIsRejected(t *testing.T) {
	envelope := &Envelope{
		ProtocolVersion:  9,
		MinReaderVersion: 9,
		ClusterDigest:    7,
		Body:             &Envelope_Ping{&Ping{}},
	}
	raw, _ := proto.Marshal(envelope)
	if _, err := Decode(7, sealBody(raw)); !errors.Is(err, ErrUnsupportedVersion) {
		t.Errorf("frame of a newer version: got %v, want ErrUnsupportedVersion", err)
	}
}

func TestDigests(t *testing.T) {
	a := &Member{Name: "a", Seed: zeroSeed()}
	b := &Member{Name: "b", Seed: zeroSeed()}
	if NewIdentity("c", []*Member{a, b}) != NewIdentity("c", []*Member{b, a}) {
		t.Error("the identity depends on the order of members")
	}
	if VoterSetDigest([]string{"a", "b"}) != VoterSetDigest([]string{"b", "a"}) {
		t.Error("the digest of voters depends on their order")
	}
	otherSeed := &Member{Name: "b", Seed: append(zeroSeed()[1:], 1)}
	if NewIdentity("c", []*Member{a, b}) == NewIdentity("c", []*Member{a, otherSeed}) {
		t.Error("the identity does not depend on the seeds")
	}
	if NewIdentity("c", []*Member{a}) == NewIdentity("d", []*Member{a}) {
		t.Error("the identity does not depend on the cluster's name")
	}
	if VoterSetDigest([]string{"ab"}) == VoterSetDigest([]string{"a", "b"}) {
		t.Error("two different sets of voters have the same digest")
	}
	if id := NodeID("a"); id == raft.None || id >= math.MaxUint64-1 {
		t.Error("the ID is reserved by raft")
	}
}

// FuzzDecode checks that decoding does not panic, and that accepted frames can be
// encoded and decoded again without a change.
func FuzzDecode(f *testing.F) {
	for _, frame := range sampleFrames() {
		f.Add(Encode(7, frame)[peerconn.HeaderLen:])
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		frame, err := Decode(7, sealBody(body))
		if err != nil {
			return
		}
		if m := frame.Raft; m != nil && len(m.Entries) > 0 && m.Entries[0].GetIndex() != m.GetIndex()+1 {
			t.Fatal("an append message with a gap before its entries was accepted")
		}
		raw := Encode(7, frame)
		if raw == nil {
			t.Fatal("an accepted frame can't be encoded")
		}
		if size := binary.BigEndian.Uint32(raw); int(size) != len(raw)-peerconn.HeaderLen {
			t.Fatal("the header has a wrong length")
		}
		second, err := Decode(7, raw)
		if err != nil || second.Identity != frame.Identity || !bytes.Equal(Encode(7, second), raw) {
			t.Fatalf("second decoding: got %+v, error %v", second, err)
		}
	})
}
