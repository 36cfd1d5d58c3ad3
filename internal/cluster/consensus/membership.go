package consensus

import (
	"errors"
	"maps"
	"slices"

	"go.etcd.io/raft/v3/raftpb"

	"example.org/bellstream/internal/boltfile"
	"example.org/bellstream/internal/cluster/consensus/wire"
)

// A voter's file gets a random seed when it is created, and an identity when the
// voter joins a cluster. The members of a cluster are known by name and seed:
//
//   - A voter without an identity that finds its name and seed among the members
//     of a cluster belongs to it and has never voted. It writes the cluster's
//     identity to its file before it votes.
//   - A voter that finds its name there with another seed has lost its file, and
//     must not vote.
//   - The identity of a new cluster is derived from the seeds of all its members,
//     and only by a voter to which each of the others has reported that it has no
//     identity. Two voters that do so at the same time derive the same one.

// membership is the voters as of the last applied entry.
type membership struct {
	byID         map[uint64]*wire.Member
	sorted       []*wire.Member // by name; replaced rather than modified, because handshakes share it
	removedNames []string       // of former members, oldest first; at most wire.MaxRemovedNames
}

func newMembership(state *wire.SnapshotState) membership {
	m := membership{byID: map[uint64]*wire.Member{}, removedNames: state.RemovedNames}
	for _, member := range state.Members {
		m.add(member)
	}
	return m
}

func (m *membership) add(member *wire.Member) {
	m.byID[wire.NodeID(member.Name)] = member
	m.sort()
}

func (m *membership) remove(member *wire.Member) {
	delete(m.byID, wire.NodeID(member.Name))
	m.removedNames = append(m.removedNames, member.Name)
	excess := max(0, len(m.removedNames)-wire.MaxRemovedNames)
	m.removedNames = m.removedNames[excess:]
	m.sort()
}

func (m *membership) clear() {
	clear(m.byID)
	m.sort()
}

func (m *membership) sort() {
	m.sorted = wire.SortByName(slices.Collect(maps.Values(m.byID)))
}

// currentAdvertisement returns the identity and the handshake that this voter
// sends to its peers.
func (l *loop) currentAdvertisement() *advertisement {
	handshake := &wire.Handshake{
		Name:           l.options.Name,
		Address:        l.options.Voters[l.options.Name],
		Voter:          true,
		Seed:           l.storage.owner.Seed,
		VoterSetDigest: l.voterSetDigest,
	}
	if l.rawNode != nil {
		handshake.Members = l.members.sorted
		handshake.AppliedIndex = l.applied.index
		handshake.Term = l.rawNode.BasicStatus().GetTerm()
		handshake.Leader, handshake.LeaderAddress = l.currentLeader()
	}
	return &advertisement{l.storage.identity(), handshake}
}

// requestHandshakes asks all connected voters for their handshakes.
func (l *loop) requestHandshakes() {
	own := l.currentAdvertisement()
	own.handshake.ReplyRequested = true // not shared with other goroutines yet
	for _, conn := range l.node.transport.connectedVoters() {
		conn.send(wire.Frame{Identity: own.identity, Handshake: own.handshake})
	}
}

func (l *loop) handleHandshake(received receivedFrame) {
	handshake := received.frame.Handshake
	if handshake.ReplyRequested {
		own := l.currentAdvertisement()
		own.handshake.RecipientRemoved = slices.Contains(l.members.removedNames, handshake.Name)
		received.from.send(wire.Frame{Identity: own.identity, Handshake: own.handshake})
	}
	if _, known := l.peers[handshake.Name]; !known && len(l.peers) >= maxKnownPeers {
		l.node.drops.Add(dropUnknownSender)
		return
	}
	l.peers[handshake.Name] = advertisement{received.frame.Identity, handshake}
	l.proposeVoterChange()
	l.evaluateMembership()
}

// evaluateMembership decides from the peers' handshakes whether this voter joins a
// cluster, bootstraps one, waits or must not vote.
func (l *loop) evaluateMembership() {
	if !l.storage.identity().IsZero() {
		l.checkRemoved()
		return
	}
	if l.state == StateFailed {
		return
	}
	verdict := l.findCluster()
	switch verdict.state {
	case StateVoting:
		l.joinCluster(verdict.identity, nil)
	case StateDiscovering:
		l.bootstrap()
	default:
		if l.state != verdict.state {
			l.options.Log.Error().Err(verdict.reason).Msg("consensus: this voter does not vote")
		}
		l.state = verdict.state
		l.stateReason = verdict.reason
	}
}

// checkRemoved stops this voter if a peer has reported that it was removed. A
// removed voter receives no raft messages, so it learns of its removal from the
// handshakes that it requests while it knows no leader.
func (l *loop) checkRemoved() {
	for _, peer := range l.peers {
		if l.rawNode != nil && peer.handshake.RecipientRemoved && peer.identity == l.storage.identity() {
			l.becomeRemoved()
		}
	}
}

func (l *loop) becomeRemoved() {
	l.stopRaft(StateRemoved, l.notVoter("it was removed from the voters"))
}

// membershipVerdict is the result of findCluster.
type membershipVerdict struct {
	state    VoterState    // StateVoting: this voter is a member; StateDiscovering: no cluster found
	identity wire.Identity // of the cluster, with StateVoting
	reason   error         // why this voter does not vote
}

// findCluster looks for a cluster among the peers that belong to one.
func (l *loop) findCluster() membershipVerdict {
	verdict := membershipVerdict{state: StateDiscovering}
	for _, peer := range l.peers {
		members := peer.handshake.Members
		if peer.identity.IsZero() || len(members) == 0 {
			continue
		}
		i := slices.IndexFunc(members, func(m *wire.Member) bool { return m.Name == l.options.Name })
		switch {
		case i >= 0 && string(members[i].Seed) == string(l.storage.owner.Seed):
			return membershipVerdict{state: StateVoting, identity: peer.identity}
		case peer.handshake.RecipientRemoved:
			verdict.state = StateRemoved
			verdict.reason = l.notVoter("a voter with this name was removed: give this voter another name")
		case i >= 0:
			verdict.state = StateDataLost
			verdict.reason = &DataLostError{l.options.Name, l.options.Dir}
		case verdict.state == StateDiscovering:
			verdict.state = StateNotMember
			verdict.reason = l.notVoter("a cluster exists without this voter: add it to the voters in the rules")
		}
	}
	return verdict
}

// bootstrap creates a new cluster once every other voter in the options has
// reported that it belongs to none and has the same voters in its options.
func (l *loop) bootstrap() {
	own := &wire.Member{
		Name:    l.options.Name,
		Address: l.options.Voters[l.options.Name],
		Seed:    l.storage.owner.Seed,
	}
	members := []*wire.Member{own}
	for name, address := range l.options.Voters {
		if name == l.options.Name {
			continue
		}
		peer, known := l.peers[name]
		if !known || !peer.identity.IsZero() {
			return
		}
		if peer.handshake.VoterSetDigest != l.voterSetDigest {
			l.stateReason = l.notVoter("voter " + name +
				" is configured with other voters than this one: configure all alike")
			return
		}
		members = append(members, &wire.Member{Name: name, Address: address, Seed: peer.handshake.Seed})
	}
	l.joinCluster(wire.NewIdentity(l.options.Cluster, members), members)
}

// joinCluster makes this voter a member of a cluster. members is nil for an
// existing cluster, and lists all members of a cluster that this voter creates.
func (l *loop) joinCluster(identity wire.Identity, members []*wire.Member) {
	bootstrapped := members != nil
	var first *raftpb.Snapshot
	if bootstrapped {
		var err error
		if first, err = l.firstSnapshot(members); err != nil {
			l.fail(&CorruptFileError{Path: l.storage.path, Err: err})
			return
		}
	}
	err := l.storage.saveIdentity(identity, first)
	switch {
	case errors.Is(err, boltfile.ErrNoSpace):
		l.members.clear()
		l.stateReason = &DiskFullError{Path: l.storage.path} // retried on the next handshake
		return
	case err != nil:
		l.fail(&CorruptFileError{Path: l.storage.path, Err: err})
		return
	}
	l.options.Log.Info().Str("identity", identity.String()).Bool("bootstrapped", bootstrapped).
		Msg("consensus: this voter has joined a cluster")
	l.startFromStorage()
}

// firstSnapshot returns the initial snapshot of a new cluster.
func (l *loop) firstSnapshot(members []*wire.Member) (*raftpb.Snapshot, error) {
	confState := raftpb.EnsureConfState(nil)
	for _, member := range wire.SortByName(members) {
		l.members.add(member) // read by encodeSnapshot; startFromStorage loads them again
		confState.Voters = append(confState.Voters, wire.NodeID(member.Name))
	}
	l.updatePeers()
	data, err := l.encodeSnapshot(nil)
	if err != nil {
		return nil, err
	}
	metadata := &raftpb.SnapshotMetadata{ConfState: confState, Index: new(uint64(1)), Term: new(uint64(1))}
	return &raftpb.Snapshot{Data: data, Metadata: metadata}, nil
}

// updatePeers sets the voters with which the transport keeps connections: the
// members, or the voters in the options while there are no members, and a voter
// that is being added or moved.
func (l *loop) updatePeers() {
	voters := map[string]string{}
	for _, member := range l.members.byID {
		voters[member.Name] = member.Address
	}
	l.status.Voters = voters
	targets := maps.Clone(voters)
	if len(voters) == 0 {
		maps.Copy(targets, l.options.Voters)
	}
	if change := l.pending.voterChange; change != nil && change.kind != raftpb.ConfChangeRemoveNode {
		targets[change.member.Name] = change.member.Address
	}
	l.node.transport.setTargets(targets)
}
