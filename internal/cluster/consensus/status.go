package consensus

// VoterState describes whether a node votes and, if not, why.
type VoterState string

// Voter states. A voter alternates between StateVoting and StateDiskFull. From
// StateDataLost, StateRemoved and StateFailed it does not return to voting;
// StateDataLost becomes StateRemoved once the voter is removed.
const (
	StateDiscovering VoterState = "asking"  // waits for every other voter to report whether there is a cluster
	StateNotMember   VoterState = "waiting" // there is a cluster, and this node is not a member yet
	StateVoting      VoterState = "voting"
	StateDiskFull    VoterState = "full"
	StateDataLost    VoterState = "lost"    // the cluster knows this voter with another file's seed
	StateRemoved     VoterState = "removed" // this node was removed from the voters
	StateFailed      VoterState = "failed"  // the file can't be trusted
)

// Status is a voter's status for operators.
type Status struct {
	Name          string            `json:"name"`
	Cluster       string            `json:"cluster"`
	Identity      string            `json:"identity,omitempty"`
	State         VoterState        `json:"stand"`
	Reason        string            `json:"why,omitempty"` // why this node does not vote
	IsLeader      bool              `json:"leads"`
	Leader        string            `json:"leader,omitempty"`
	LeaderAddress string            `json:"leader_address,omitempty"`
	Term          uint64            `json:"term"`
	AppliedIndex  uint64            `json:"index"`
	Voters        map[string]string `json:"voters"`
	Connected     []string          `json:"connected"`
	Proposals     uint64            `json:"proposals"` // committed, since the start
	Reads         uint64            `json:"reads"`     // confirmed, since the start
	Forwarded     uint64            `json:"passed"`    // requests forwarded to the leader
	Snapshots     uint64            `json:"snapshots"` // written by this node
	SentBytes     uint64            `json:"sent_bytes"`
	SnapshotError string            `json:"trouble,omitempty"`
	Drops         map[string]uint64 `json:"drops"` // frames, by reason
}

// Leader returns the leader that this node knows, and this node's current term. The
// name is empty if no leader is known.
func (n *Node) Leader() (name, addr string, term uint64) {
	s := n.status.Load()
	if n.lostLeader(s) {
		return "", "", s.Term
	}
	return s.Leader, s.LeaderAddress, s.Term
}

// lostLeader reports whether the connection with the leader in a status has ended since the loop published it.
func (n *Node) lostLeader(s *Status) bool {
	return s.Leader != "" && s.Leader != s.Name && n.transport.connectionTo(s.Leader) == nil
}

// Status returns the node's status. It does not wait for the loop.
func (n *Node) Status() Status {
	s := *n.status.Load()
	if n.lostLeader(&s) {
		s.Leader, s.LeaderAddress = "", ""
	}
	s.Drops = dropCounts(&n.drops)
	s.SentBytes = n.transport.sentBytes.Load()
	for _, c := range n.transport.connectedVoters() {
		s.Connected = append(s.Connected, c.remote.Name)
	}
	return s
}

// publishStatus makes the loop's state visible to other goroutines.
func (l *loop) publishStatus() {
	s := &l.status
	s.Name = l.options.Name
	s.Cluster = l.options.Cluster
	s.State = l.state
	s.IsLeader = l.leaderTerm != 0
	s.AppliedIndex = l.applied.index
	s.Leader, s.LeaderAddress = l.currentLeader()
	s.Reason = ""
	if l.stateReason != nil {
		s.Reason = l.stateReason.Error()
	}
	s.Identity = ""
	if identity := l.storage.identity(); !identity.IsZero() {
		s.Identity = identity.String()
	}
	if l.rawNode != nil {
		s.Term = l.rawNode.BasicStatus().GetTerm()
	}
	published := *s
	l.node.status.Store(&published)
	l.node.advertised.Store(l.currentAdvertisement())
}
