package agent

import (
	"context"
	"maps"
	"slices"
	"time"

	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/consensus"
	"example.org/bellstream/internal/cluster/lease"
	"example.org/bellstream/internal/cluster/migration"
	"example.org/bellstream/internal/cluster/migration/coordinator"
	"example.org/bellstream/internal/cluster/migration/wire"
)

const (
	// migrationCallTimeout is the timeout of one packet to another cluster, including the response.
	migrationCallTimeout = 2 * time.Second
	// migrationRetrySeconds is the time after which a failed proposal of the capacity ledger is repeated.
	migrationRetrySeconds = 1
)

// Migration configures how services migrate between clusters. The Peers of the
// embedded options are ignored; the names of PeerClusters replace them.
type Migration struct {
	coordinator.Options
	PeerClusters map[string]PeerCluster // by name
	// OnConfig is called on the consensus node's goroutine for each new version in force, in ascending
	// order. It may be nil.
	OnConfig func(*config.Table)
}

// PeerCluster is another cluster.
type PeerCluster struct {
	Cluster        string // name in its accord block
	VoterAddresses []string
}

func (m *Migration) coordinatorOptions() coordinator.Options {
	options := m.Options
	options.Peers = slices.Sorted(maps.Keys(m.PeerClusters))
	return options
}

// MigrationStatus returns the status of the capacity ledger in the configuration
// that was leased last, or in the fallback before the first lease. It returns nil
// if services do not migrate between clusters.
func (a *Agent) MigrationStatus() *coordinator.Status {
	if a.Migration == nil {
		return nil
	}
	s := a.effective.Load()
	table := s.leasedTable
	if table == nil {
		table = s.fallbackTable
	}
	return coordinator.StatusOf(a.Migration.coordinatorOptions(), table)
}

// migrationRunner connects the migration coordinator to the voter and to other
// clusters. The node's goroutine owns it, except for the links. On a nil runner
// receive returns an error and the other methods do nothing.
type migrationRunner struct {
	voter       *voter
	coordinator *coordinator.Coordinator
	version     uint64 // the version that the coordinator has applied
	proposing   bool
	failedAt    float64 // time of the last failed proposal
	links       map[string]*peerLink
}

func newMigrationRunner(v *voter) *migrationRunner {
	m := &migrationRunner{
		voter:       v,
		coordinator: coordinator.New(v.agent.Migration.coordinatorOptions()),
		links:       map[string]*peerLink{},
	}
	for name, peer := range v.agent.Migration.PeerClusters {
		m.links[name] = &peerLink{
			runner: m,
			name:   name,
			peer:   peer,
			client: v.agent.newClient(peer.Cluster),
			outbox: make(chan []migration.Message, 1),
		}
	}
	return m
}

// start starts the links. The voter's node must be set.
func (m *migrationRunner) start() {
	if m == nil {
		return
	}
	for _, link := range m.links {
		m.voter.agent.goroutines.Go(link.run)
	}
}

func (m *migrationRunner) close() {
	if m == nil {
		return
	}
	for _, link := range m.links {
		link.client.Close()
	}
}

func (m *migrationRunner) leadershipChanged(leads bool) {
	if m == nil {
		return
	}
	m.proposing = false
	m.coordinator.SetLeader(leads)
}

// backOff pauses the coordinator's proposals if err shows that a proposal failed because of another one, which may be
// the coordinator's.
func (m *migrationRunner) backOff(err error) {
	if m == nil {
		return
	}
	if matches[*lease.ProposalInProgressError](err) || matches[*lease.StaleProposalError](err) {
		m.coordinator.Backoff(m.voter.agent.elapsed())
	}
}

// applyInForce passes a new version in force to the coordinator. It skips a
// version that can't be decoded, as no instance acts on it.
func (m *migrationRunner) applyInForce() {
	if m == nil {
		return
	}
	table := m.voter.tableInForce()
	if table == nil || table.Version == m.version {
		return
	}
	m.version = table.Version
	for _, change := range m.coordinator.Adopt(table) {
		if m.voter.term != 0 {
			m.voter.agent.Log.Info().Uint64("version", table.Version).Msgf("clusters: %s", change)
		}
	}
	if onConfig := m.voter.agent.Migration.OnConfig; onConfig != nil {
		onConfig(table)
	}
}

// tick proposes the next version of the capacity ledger, if one is due, and
// queues the messages that are due for the other clusters.
func (m *migrationRunner) tick(now float64) {
	if m == nil {
		return
	}
	view := m.voter.state.View()
	if m.mayPropose(now, view) {
		if table := m.coordinator.Next(now); table != nil {
			m.propose(view, table)
		}
	}
	for name, messages := range m.coordinator.Outbox(now) {
		// Messages to a cluster that is no longer configured are dropped, so a migration to it makes no progress.
		if link := m.links[name]; link != nil {
			link.send(messages)
		}
	}
}

func (m *migrationRunner) mayPropose(now float64, view *lease.View) bool {
	return view.Revision.Stage == lease.StageInForce && m.version == view.InForce.Number &&
		!m.proposing && now >= m.failedAt+migrationRetrySeconds
}

func (m *migrationRunner) propose(view *lease.View, table *config.Table) {
	entry, err := view.Proposal(table, m.voter.agent.Name, view.NewestNumber())
	if err != nil {
		m.proposalFailed(err)
		return
	}
	m.proposing = true
	m.voter.submit(entry, func(err error) {
		m.proposing = false
		if err != nil {
			m.proposalFailed(err)
		}
	})
}

func (m *migrationRunner) proposalFailed(err error) {
	m.proposing = false
	m.failedAt = m.voter.agent.elapsed()
	m.voter.agent.logLimiter.Do("clusters", func(int) {
		m.voter.agent.Log.Warn().Msgf("clusters: proposing the capacity ledger failed: %v", err)
	})
}

// receive handles a packet from another cluster and returns the packet with the answers, or nil if there are none.
func (m *migrationRunner) receive(packet []byte) ([]byte, error) {
	if m == nil {
		return nil, &lease.UnsupportedFormatError{Subject: subjectRequest}
	}
	messages, err := wire.UnmarshalMessages(packet)
	if err != nil {
		return nil, &lease.CorruptMessageError{Subject: "a packet of another cluster", Reason: err.Error()}
	}
	answers := wire.MarshalMessages(m.coordinator.Receive(m.voter.agent.elapsed(), messages))
	if len(answers) == 0 {
		return nil, nil
	}
	return answers[0], nil // there are at most as many answers as messages, so they fit into one packet
}

// peerLink sends messages to one other cluster. Later messages replace those
// that have not been sent yet.
type peerLink struct {
	runner    *migrationRunner
	name      string
	peer      PeerCluster
	client    *consensus.Client
	outbox    chan []migration.Message
	lastVoter int // index of the voter that answered last
}

// send queues messages, replacing those in the queue. Only the node's goroutine calls it, so it never blocks.
func (l *peerLink) send(messages []migration.Message) {
	select {
	case <-l.outbox:
	default:
	}
	l.outbox <- messages
}

// run sends the link's messages until the agent is closed.
func (l *peerLink) run() {
	for {
		select {
		case <-l.runner.voter.agent.ctx.Done():
			return
		case messages := <-l.outbox:
			l.exchange(messages)
		}
	}
}

// exchange sends messages and passes the answers to the coordinator.
func (l *peerLink) exchange(messages []migration.Message) {
	v := l.runner.voter
	for _, packet := range wire.MarshalMessages(messages) {
		response, err := l.call(packet)
		if err != nil {
			v.agent.logLimiter.Do("peer "+l.name, func(int) {
				v.agent.Log.Warn().Msgf("clusters: sending messages to %q failed: %v", l.name, err)
			})
			return
		}
		v.runOnNode(func() { l.runner.handleAnswers(response) })
	}
}

func (m *migrationRunner) handleAnswers(packet []byte) {
	if len(packet) == 0 {
		return
	}
	answers, err := wire.UnmarshalMessages(packet)
	if err != nil {
		return
	}
	m.coordinator.Receive(m.voter.agent.elapsed(), answers)
	m.voter.tick()
}

// call sends a packet to the other cluster's voters in turn until one answers, and returns the body of the response.
func (l *peerLink) call(packet []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(l.runner.voter.agent.ctx, migrationCallTimeout)
	defer cancel()
	payload := encodePayload(payloadMigration, packet)
	response, answered, err := callAnyVoter(ctx, l.client, l.peer.VoterAddresses, l.lastVoter, payload)
	if err != nil {
		return nil, err
	}
	l.lastVoter = answered
	return decodeResponse(response)
}
