package wire

import (
	"encoding/binary"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// EncodeProposal returns the data of a log entry: the proposer's incarnation and
// sequence number, by which it recognizes the entry, and the proposed data.
func EncodeProposal(incarnation, sequence uint64, data []byte) []byte {
	buffer := make([]byte, 0, ProposalHeaderLen+len(data))
	buffer = binary.BigEndian.AppendUint64(buffer, incarnation)
	buffer = binary.BigEndian.AppendUint64(buffer, sequence)
	return append(buffer, data...)
}

// DecodeProposal is the inverse of EncodeProposal. ok is false for an entry without
// a proposal, such as the empty entry at the beginning of each leader's term.
func DecodeProposal(entry []byte) (incarnation, sequence uint64, data []byte, ok bool) {
	if len(entry) < ProposalHeaderLen {
		return 0, 0, nil, false
	}
	incarnation = binary.BigEndian.Uint64(entry)
	sequence = binary.BigEndian.Uint64(entry[8:])
	return incarnation, sequence, entry[ProposalHeaderLen:], true
}

// DecodeVoterChange returns the change of voters that an entry holds; both results
// are nil if it holds none. It returns ErrMalformed for an invalid entry.
func DecodeVoterChange(entry *raftpb.Entry) (*raftpb.ConfChange, *VoterChange, error) {
	switch entry.GetType() {
	case raftpb.EntryNormal:
		length := len(entry.GetData())
		if length > 0 && length < ProposalHeaderLen {
			return nil, nil, ErrMalformed
		}
		return nil, nil, nil
	case raftpb.EntryConfChange:
		return decodeConfChange(entry.GetData())
	}
	return nil, nil, ErrMalformed
}

func decodeConfChange(data []byte) (*raftpb.ConfChange, *VoterChange, error) {
	confChange := &raftpb.ConfChange{}
	if proto.Unmarshal(data, confChange) != nil {
		return nil, nil, ErrMalformed
	}
	change := &VoterChange{}
	if proto.Unmarshal(confChange.GetContext(), change) != nil {
		return nil, nil, ErrMalformed
	}
	if !validMember(change.Member) || confChange.GetNodeId() != NodeID(change.Member.Name) {
		return nil, nil, ErrMalformed
	}
	switch confChange.GetType() {
	case raftpb.ConfChangeAddNode, raftpb.ConfChangeRemoveNode, raftpb.ConfChangeUpdateNode:
		return confChange, change, nil
	}
	return nil, nil, ErrMalformed
}

// DecodeSnapshotState returns the content of a snapshot. It returns ErrMalformed if
// the content is invalid, or its members are not exactly the voters in the
// snapshot's metadata.
func DecodeSnapshotState(snapshot *raftpb.Snapshot) (*SnapshotState, error) {
	state := &SnapshotState{}
	if proto.Unmarshal(snapshot.GetData(), state) != nil {
		return nil, ErrMalformed
	}
	if !validMembers(state.Members) || len(state.RemovedNames) > MaxRemovedNames {
		return nil, ErrMalformed
	}
	if !matchesVoters(state.Members, snapshot.GetMetadata().GetConfState()) {
		return nil, ErrMalformed
	}
	return state, nil
}

// matchesVoters reports whether members has each voter of conf exactly once and
// nothing else, there is at least one, and conf has no learners and no outgoing
// voters.
func matchesVoters(members []*Member, conf *raftpb.ConfState) bool {
	if len(members) == 0 {
		return false
	}
	if len(conf.GetLearners())+len(conf.GetVotersOutgoing())+len(conf.GetLearnersNext()) > 0 {
		return false
	}
	ids := make([]uint64, 0, len(members))
	for _, m := range members {
		ids = append(ids, NodeID(m.Name))
	}
	slices.Sort(ids)
	if !slices.Equal(ids, slices.Sorted(slices.Values(conf.GetVoters()))) {
		return false
	}
	return len(slices.Compact(ids)) == len(members)
}
