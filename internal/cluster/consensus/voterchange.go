package consensus

import (
	"errors"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"example.org/bellstream/internal/cluster/consensus/wire"
)

// voterChange is a change of voters in progress. raft allows one at a time.
type voterChange struct {
	kind         raftpb.ConfChangeType
	member       *wire.Member
	sequence     uint64 // 0 until it is proposed
	deadlineTick uint64
	done         func(error)
}

func (c *voterChange) proposed() bool { return c.sequence != 0 }

// changeVoters starts a change to the given voters, a map of names to addresses. It
// calls done with nil once the change has been applied (at once if there is nothing to
// change), or with an error if it was rejected or has failed.
func (l *loop) changeVoters(voters map[string]string, done func(error)) {
	change, err := l.planVoterChange(voters)
	if err != nil || change == nil {
		done(err)
		return
	}
	change.deadlineTick = l.ticks + voterChangeTimeoutTicks
	change.done = done
	l.pending.voterChange = change
	if change.kind == raftpb.ConfChangeAddNode {
		l.updatePeers()
	}
	l.proposeVoterChange()
}

// planVoterChange returns the change to make, or nil if the voters are already the
// given ones.
func (l *loop) planVoterChange(voters map[string]string) (*voterChange, error) {
	if err := l.checkLeader(); err != nil {
		return nil, err
	}
	changes, err := l.voterDifference(voters)
	if err != nil {
		return nil, err
	}
	switch {
	case len(changes) > 1:
		return nil, &ChangeRejectedError{"only one voter may be added, removed or moved at a time: " +
			"add the new voter, then remove the old one"}
	case l.pending.voterChange != nil:
		return nil, &ChangeRejectedError{"a change of voters is in progress: wait until it has ended"}
	case len(changes) == 0:
		return nil, nil
	}
	return changes[0], nil
}

// voterDifference returns the changes that turn the members into the given voters.
func (l *loop) voterDifference(voters map[string]string) ([]*voterChange, error) {
	if len(voters) == 0 || len(voters) > MaxVoters {
		return nil, &ChangeRejectedError{"there must be 1 to 32 voters"}
	}
	var changes []*voterChange
	for _, member := range l.members.byID {
		address, stays := voters[member.Name]
		switch {
		case !stays:
			changes = append(changes, &voterChange{kind: raftpb.ConfChangeRemoveNode, member: member})
		case address != member.Address:
			moved := &wire.Member{Name: member.Name, Address: address, Seed: member.Seed}
			changes = append(changes, &voterChange{kind: raftpb.ConfChangeUpdateNode, member: moved})
		}
	}
	for name, address := range voters {
		if existing := l.members.byID[wire.NodeID(name)]; existing != nil && existing.Name == name {
			continue
		}
		if err := l.checkNewVoter(name, address); err != nil {
			return nil, err
		}
		added := &wire.Member{Name: name, Address: address}
		changes = append(changes, &voterChange{kind: raftpb.ConfChangeAddNode, member: added})
	}
	return changes, nil
}

func (l *loop) checkNewVoter(name, address string) error {
	switch {
	case name == "" || len(name) > wire.MaxNameBytes || address == "" || len(address) > wire.MaxNameBytes:
		return &ChangeRejectedError{"a voter has a name and an address of 1 to 255 bytes"}
	case slices.Contains(l.members.removedNames, name):
		return &ChangeRejectedError{"voter " + name +
			" was removed before, and votes that it cast then may still count: give the new voter another name"}
	case l.members.byID[wire.NodeID(name)] != nil:
		return &ChangeRejectedError{"voter " + name + " has the same ID as another voter: give it another name"}
	}
	return nil
}

// proposeVoterChange proposes the change in progress as soon as it can take effect:
// raft silently drops a change before this leader has applied an entry of its own
// term, and a new voter must be ready (see newVoterReady).
func (l *loop) proposeVoterChange() {
	change := l.pending.voterChange
	if change == nil || change.proposed() || l.applied.term != l.leaderTerm {
		return
	}
	if change.kind == raftpb.ConfChangeAddNode && !l.newVoterReady(change) {
		return
	}
	l.lastSequence++
	change.sequence = l.lastSequence
	if err := l.proposeConfChange(change); err != nil && l.pending.voterChange == change {
		l.pending.voterChange = nil
		change.done(&OverloadedError{"proposals"})
	}
}

// newVoterReady reports whether a new voter has responded, and stores its seed in the
// change. Adding a voter that is down would only increase the majority that the
// others have to reach. A new voter whose file already has a cluster's identity is
// rejected, which ends the change with an error.
func (l *loop) newVoterReady(change *voterChange) bool {
	peer, known := l.peers[change.member.Name]
	if !known || l.node.transport.connectionTo(change.member.Name) == nil {
		return false
	}
	if !peer.identity.IsZero() {
		l.pending.voterChange = nil
		change.done(&ChangeRejectedError{"voter " + change.member.Name +
			" has a file that already belongs to a cluster: give it an empty directory and a new name"})
		return false
	}
	change.member.Seed = peer.handshake.Seed
	return true
}

func (l *loop) proposeConfChange(change *voterChange) error {
	context, err := proto.Marshal(&wire.VoterChange{
		Incarnation: l.incarnation,
		Sequence:    change.sequence,
		Member:      change.member,
	})
	if err != nil {
		return err
	}
	confChange := &raftpb.ConfChange{
		Type:    change.kind.Enum(),
		NodeId:  new(wire.NodeID(change.member.Name)),
		Context: context,
	}
	l.guardRaft(func() { err = l.rawNode.ProposeConfChange(confChange) })
	return err
}

func (l *loop) applyVoterChange(confChange *raftpb.ConfChange, change *wire.VoterChange) {
	l.guardRaft(func() { l.storage.confState = l.rawNode.ApplyConfChange(confChange) })
	if l.rawNode == nil {
		return
	}
	member := change.Member
	if confChange.GetType() == raftpb.ConfChangeRemoveNode {
		l.members.remove(member)
	} else {
		l.members.add(member)
	}
	l.options.Log.Info().Str("voter", member.Name).Str("address", member.Address).
		Str("change", confChange.GetType().String()).Msg("consensus: the voters have changed")
	l.snapshot.voterChanged = true
	l.updatePeers()
	l.completeVoterChange(change)
	if confChange.GetNodeId() == l.nodeID && l.members.byID[l.nodeID] == nil {
		l.becomeRemoved()
	}
}

func (l *loop) completeVoterChange(applied *wire.VoterChange) {
	change := l.pending.voterChange
	if change == nil || applied.Incarnation != l.incarnation || applied.Sequence != change.sequence {
		return
	}
	l.pending.voterChange = nil
	change.done(nil)
}

func (l *loop) expireVoterChange() {
	change := l.pending.voterChange
	if change == nil || l.ticks < change.deadlineTick {
		return
	}
	l.pending.voterChange = nil
	l.updatePeers()
	if change.proposed() {
		change.done(&NoQuorumError{OutcomeUnknown: true})
		return
	}
	change.done(&UnreachableError{Address: change.member.Address, Err: errors.New("the new voter does not respond")})
}
