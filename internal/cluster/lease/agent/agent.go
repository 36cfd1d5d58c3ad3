// Package agent runs an instance's part in the replicated configuration. It
// renews the instance's lease, persists the state that a restarted process needs,
// proposes the configuration of the operator's file and, on a voter, answers the
// other instances' requests while it leads. Package lease makes the decisions;
// this package adds sockets, files and clocks.
//
// There are two main goroutines. The consensus node's goroutine owns the
// replicated state and the leader's record of leases (voter.go). The agent's
// goroutine owns the instance's lease. The dispatcher's event loop reads the state
// that they publish and never waits for either of them.
package agent

import (
	"cmp"
	"context"
	"errors"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/consensus"
	"example.org/bellstream/internal/cluster/lease"
	"example.org/bellstream/internal/logging"
)

// Options configure an Agent.
type Options struct {
	Name        string
	Incarnation uint64 // unique to each process of the instance
	Cluster     string
	StateDir    string // directory of the files that a restarted process reads
	// ListenAddress is where a voter listens. Connections are dialled from its IP address.
	ListenAddress  string
	Voters         map[string]string // addresses of the initial voters, by name
	LeaseSettings  lease.Settings
	ShardPlacement ShardPlacement
	Migration      *Migration // nil if services do not migrate between clusters
	// IgnoreLeases keeps the last configuration in effect without a lease, and advances stages
	// without waiting. It is for experiments only.
	IgnoreLeases bool
	JournalPath  string // file that records the configuration in effect; empty: no journal
	Log          zerolog.Logger
	Now          func() time.Time // a monotonic clock
	OnChange     func()           // called when another configuration has been leased; must not block
}

// Intervals and timeouts of the consensus node and of proposals.
const (
	// TickInterval is the tick of the consensus node and of the leader's periodic work.
	TickInterval = 50 * time.Millisecond
	// ProposeTimeout is the timeout of a proposal.
	ProposeTimeout = 5 * time.Second
	// ProposalRetryDelay is the time after which a proposal without an outcome is retried.
	ProposalRetryDelay = time.Second
)

const (
	inboxCapacity  = 64
	logInterval    = 10 * time.Second // minimum time between two warnings of one kind
	unlimitedLease = 1000 * time.Hour
	// releaseTimeoutDelays is the timeout of a release, in multiples of the network delay. The result is 100 ms with
	// the default settings, because SIGKILL may follow 150 ms after the longest drain.
	releaseTimeoutDelays = 2.0
	minTimerSeconds      = 0.001
)

// Agent is an instance's part in the replicated configuration.
type Agent struct {
	Options
	startTime  time.Time
	leaseFile  *leaseFile
	journal    *journal
	voter      *voter            // nil if the instance is not a voter
	client     *consensus.Client // sends requests to other voters
	logLimiter *logging.Limited

	// Shared between goroutines.
	effective    atomic.Pointer[effectiveState]
	appliedTable atomic.Pointer[config.Table] // the table that the event loop applied last
	voters       atomic.Pointer[[]config.Voter]
	lastVoter    atomic.Int32 // index of the voter that answered last
	status       atomic.Pointer[Status]
	inbox        chan event
	wakeup       chan struct{} // signals that appliedTable has changed
	ctx          context.Context
	cancel       context.CancelFunc
	goroutines   sync.WaitGroup
	closeOnce    sync.Once

	// Owned by the agent's goroutine.
	holder           *lease.Holder
	requestInFlight  bool
	rejectedRequests uint64
	fault            string          // error of the latest lease request; empty if none
	history          []*config.Table // the newest versions, ascending and without gaps
	proposal         proposalState
	release          releaseState
}

// event is a message to the agent's goroutine.
type event interface {
	handle(a *Agent)
}

// New starts an agent. It does not wait for other instances. It returns an error
// if the lease settings are invalid, the lease file can't be read, the journal
// can't be opened or the consensus node does not start.
func New(o Options) (*Agent, error) {
	if err := o.LeaseSettings.Validate(); err != nil {
		return nil, err
	}
	if o.OnChange == nil {
		o.OnChange = func() {}
	}
	a := newAgent(o)
	if err := a.openFiles(); err != nil {
		return nil, err
	}
	a.setInitialVoters()
	if o.Voters[o.Name] != "" {
		voter, err := newVoter(a)
		if err != nil {
			a.journal.close()
			return nil, err
		}
		a.voter = voter
	}
	a.client = a.newClient(o.Cluster)
	a.effective.Store(&effectiveState{fallbackTable: a.holder.EffectiveConfig(a.elapsed()).Table})
	a.publishStatus()
	a.goroutines.Go(a.run)
	bounds := o.LeaseSettings.Bounds()
	o.Log.Info().
		Str("cluster", o.Cluster).
		Str("name", o.Name).
		Bool("votes", a.voter != nil).
		Float64("loose_s", bounds.ConflictSeconds).
		Msgf("accord: %s", bounds)
	return a, nil
}

// newAgent returns an agent without files, connections and goroutines.
func newAgent(o Options) *Agent {
	ctx, cancel := context.WithCancel(context.Background())
	return &Agent{
		Options:    o,
		startTime:  o.Now(),
		logLimiter: logging.NewLimited(logInterval, o.Now),
		inbox:      make(chan event, inboxCapacity),
		wakeup:     make(chan struct{}, 1),
		ctx:        ctx,
		cancel:     cancel,
		holder:     lease.NewHolder(o.Name, o.Incarnation, o.LeaseSettings),
	}
}

func (a *Agent) openFiles() error {
	file, err := openLeaseFile(filepath.Join(a.StateDir, a.Name+".lease"))
	if err != nil {
		return err
	}
	a.leaseFile = file
	a.holder.Restore(file.cluster, file.revision)
	if a.JournalPath == "" {
		return nil
	}
	a.journal, err = openJournal(a.JournalPath, a.Name, a.Incarnation, a.startTime)
	return err
}

// setInitialVoters stores the voters of the options. The incarnation selects the
// voter that gets the first request, so that processes differ in their choice.
func (a *Agent) setInitialVoters() {
	voters := make([]config.Voter, 0, len(a.Voters))
	for name, address := range a.Voters {
		voters = append(voters, config.Voter{Name: name, Address: address})
	}
	slices.SortFunc(voters, func(x, y config.Voter) int { return cmp.Compare(x.Name, y.Name) })
	a.voters.Store(&voters)
	a.lastVoter.Store(int32(a.Incarnation % uint64(max(len(voters), 1))))
}

// elapsed returns the time since the start in seconds, by the monotonic clock.
func (a *Agent) elapsed() float64 {
	return a.Now().Sub(a.startTime).Seconds()
}

func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

func (a *Agent) post(e event) {
	select {
	case a.inbox <- e:
	case <-a.ctx.Done():
	}
}

// run is the loop of the agent's goroutine.
func (a *Agent) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		wakeAt := a.sendDue()
		a.proposePending()
		timer.Reset(secondsToDuration(max(wakeAt-a.elapsed(), minTimerSeconds)))
		select {
		case <-a.ctx.Done():
			return
		case e := <-a.inbox:
			e.handle(a)
		case <-a.wakeup:
			a.acknowledgeApplied()
		case <-timer.C:
		}
		a.publishStatus()
	}
}

// sendDue sends the lease request or the release that is due, and returns the
// time of the next check in seconds since the start. At most one lease request is
// in flight.
func (a *Agent) sendDue() (wakeAt float64) {
	now := a.elapsed()
	if a.requestInFlight {
		return now + a.LeaseSettings.RenewIntervalSeconds
	}
	if a.release.requested {
		a.sendRelease()
		return now + a.LeaseSettings.RenewIntervalSeconds
	}
	request, due, nextAt := a.holder.NextRequest(now)
	if due {
		a.requestInFlight = true
		a.goroutines.Go(func() { a.requestLease(request) })
	}
	return nextAt
}

// requestLease sends a lease request to the leader and posts the outcome to the
// agent's goroutine.
func (a *Agent) requestLease(request lease.Request) {
	response, err := a.callLeader(payloadLeaseRequest, request.Marshal(), a.LeaseSettings.RequestTimeoutSeconds())
	if err != nil {
		a.post(grantResult{err: err})
		return
	}
	grant, err := lease.UnmarshalGrant(response)
	a.post(grantResult{grant: grant, err: err})
}

// grantResult is the outcome of a lease request.
type grantResult struct {
	grant lease.Grant
	err   error
}

func (r grantResult) handle(a *Agent) {
	a.requestInFlight = false
	a.fault = ""
	if r.err != nil {
		if _, rejected := errors.AsType[*RejectedError](r.err); rejected {
			a.rejectedRequests++
		}
		a.reportFault(r.err)
		return
	}
	if err := a.holder.HandleGrant(a.elapsed(), r.grant); err != nil {
		a.reportFault(err)
		return
	}
	a.persistAndPublish()
}

// reportFault shows an error in the status, and logs it at most once per logInterval.
func (a *Agent) reportFault(err error) {
	a.fault = err.Error()
	a.logLimiter.Do("lease", func(suppressed int) {
		a.Log.Warn().Int("held_back", suppressed).Msgf("accord: %v", err)
	})
}
