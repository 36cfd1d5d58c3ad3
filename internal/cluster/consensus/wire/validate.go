package wire

import (
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

func validHandshake(h *Handshake) bool {
	return h != nil && validName(h.Name) && len(h.Recipient) <= MaxNameBytes && len(h.Address) <= MaxNameBytes &&
		len(h.Leader) <= MaxNameBytes && len(h.LeaderAddress) <= MaxNameBytes &&
		(len(h.Seed) == SeedLen || !h.Voter) && validMembers(h.Members)
}

func validRequest(r *Request) bool {
	return r != nil && len(r.From) <= MaxNameBytes && len(r.Payload) <= MaxPayloadBytes
}

func validResponse(r *Response) bool {
	return r != nil && len(r.Leader) <= MaxNameBytes && len(r.LeaderAddress) <= MaxNameBytes &&
		len(r.Reason) <= MaxNameBytes && len(r.Payload) <= MaxPayloadBytes
}

func validName(s string) bool { return s != "" && len(s) <= MaxNameBytes }

func validMember(m *Member) bool {
	return m != nil && validName(m.Name) && len(m.Address) <= MaxNameBytes && len(m.Seed) == SeedLen
}

func validMembers(list []*Member) bool {
	if len(list) > MaxMembers {
		return false
	}
	for _, m := range list {
		if !validMember(m) {
			return false
		}
	}
	return true
}

// validRaftMessage reports whether m may be passed to raft, whose state machine
// does not validate its input and panics on malformed messages.
func validRaftMessage(m *raftpb.Message) bool {
	if m.GetTerm() == 0 || len(m.Responses) > 0 || len(m.GetContext()) > maxContextBytes {
		return false
	}
	switch m.GetType() {
	case raftpb.MsgApp:
		return emptySnapshot(m) && validEntries(m)
	case raftpb.MsgAppResp, raftpb.MsgVote, raftpb.MsgVoteResp, raftpb.MsgPreVote, raftpb.MsgPreVoteResp,
		raftpb.MsgHeartbeat, raftpb.MsgHeartbeatResp, raftpb.MsgTimeoutNow:
		return emptySnapshot(m) && len(m.Entries) == 0
	case raftpb.MsgSnap:
		return validSnapshot(m) && len(m.Entries) == 0
	}
	// All other types are local to a node or unused, as proposals and reads are not forwarded.
	return false
}

func emptySnapshot(m *raftpb.Message) bool {
	return m.Snapshot == nil || raft.IsEmptySnap(m.Snapshot)
}

func validSnapshot(m *raftpb.Message) bool {
	if raft.IsEmptySnap(m.Snapshot) || len(m.Snapshot.Data) > MaxSnapshotBytes {
		return false
	}
	if m.Snapshot.GetMetadata().GetTerm() > m.GetTerm() {
		return false
	}
	_, err := DecodeSnapshotState(m.Snapshot)
	return err == nil
}

// validEntries reports whether the entries follow the message's index without gaps,
// their terms never decrease, and their sizes are within the limits.
func validEntries(m *raftpb.Message) bool {
	size := 0
	term := m.GetLogTerm()
	for i, entry := range m.Entries {
		if entry == nil || entry.GetIndex() != m.GetIndex()+uint64(i)+1 {
			return false
		}
		if entry.GetTerm() < term || entry.GetTerm() > m.GetTerm() {
			return false
		}
		term = entry.GetTerm()
		length := len(entry.GetData())
		size += length
		if length > MaxProposalBytes+ProposalHeaderLen || size > MaxMessageEntryBytes {
			return false
		}
		if _, _, err := DecodeVoterChange(entry); err != nil {
			return false
		}
	}
	return true
}
