package service

import (
	"errors"
	"time"

	"github.com/rs/zerolog"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/lease/agent"
	"example.org/bellstream/internal/cluster/mesh"
	"example.org/bellstream/internal/cluster/shard"
	"example.org/bellstream/internal/cluster/shardrouter"
	"example.org/bellstream/internal/dispatcher"
	"example.org/bellstream/internal/logging"
	"example.org/bellstream/internal/operatorconfig"
)

const (
	// shardReportInterval is the interval at which an instance reports its shards to the leader and asks for transfers
	// to start.
	shardReportInterval = time.Second

	shardWarningInterval   = time.Minute
	ownerChangeQueueLength = 16
)

// shardSubsystem connects the shard router to the loop, the agreed shard map and the other instances.
type shardSubsystem struct {
	agent    *agent.Agent
	mesh     *mesh.Mesh
	router   *shardrouter.Router // nil until the loop has its Balancer
	changes  chan []shard.OwnerChange
	done     chan struct{}
	ended    chan struct{}
	log      zerolog.Logger
	warnings *logging.Limited
}

// newShardSubsystem makes the shard router the loop's scheduler. The router is created when the loop has its Balancer.
func newShardSubsystem(b *builder) (*shardSubsystem, error) {
	s := &shardSubsystem{
		agent:    b.agent,
		changes:  make(chan []shard.OwnerChange, ownerChangeQueueLength),
		done:     make(chan struct{}),
		ended:    make(chan struct{}),
		log:      b.log,
		warnings: logging.NewLimited(shardWarningInterval, time.Now),
	}
	routerStarted := make(chan struct{})
	connections, err := mesh.New(mesh.Options{
		Name:    b.agent.Name,
		Cluster: b.agent.Cluster,
		Listen:  b.file.Shards.Listen,
		Receive: func(from string, frame []byte) {
			<-routerStarted
			s.router.Receive(from, frame)
		},
	})
	if err != nil {
		return nil, err
	}
	s.mesh = connections
	s.mesh.SetPeers(b.file.Shards.Instances)
	b.options.NewScheduler = func(balancer *balance.Balancer, clock func() float64) dispatcher.Scheduler {
		options := s.routerOptions(b)
		options.Now = clock
		s.router = shardrouter.New(options, balancer)
		close(routerStarted)
		go s.run()
		return s.router
	}
	return s, nil
}

func (s *shardSubsystem) routerOptions(b *builder) shardrouter.Options {
	_, limits := b.file.Shards.Settings()
	return shardrouter.Options{
		Name:        s.agent.Name,
		Incarnation: s.agent.Incarnation,
		Cluster:     s.agent.Cluster,
		Config:      b.options.Settings.Config(),
		Table:       func() *config.Table { return s.agent.EffectiveConfig(time.Now()) },
		Wake:        b.subsystems.triggerLoop,
		Send:        s.mesh.Send,
		Propose:     s.propose,
		Limits:      limits,
		RetryAfter:  b.options.Settings.Capabilities.MaxRetryAfter,
		Log:         logging.Printf(b.log),
	}
}

// propose queues changes of the shard map. If the queue is full they are dropped; the router proposes them again.
func (s *shardSubsystem) propose(changes []shard.OwnerChange) {
	select {
	case s.changes <- changes:
	default:
	}
}

// run reports owner changes to the leader and starts the transfers that the leader requests, until Close.
func (s *shardSubsystem) run() {
	defer close(s.ended)
	ticker := time.NewTicker(shardReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case changes := <-s.changes:
			s.report(changes)
		case <-ticker.C:
			s.report(nil)
		}
	}
}

func (s *shardSubsystem) report(changes []shard.OwnerChange) {
	outgoing, err := s.agent.ReportShards(changes)
	if err != nil {
		s.warnings.Do("report", func(int) {
			s.log.Warn().Msgf("shards: reporting shard owners to the leader failed: %v", err)
		})
		return
	}
	for _, transfer := range outgoing {
		err := s.router.Transfer(transfer.Shard, transfer.To)
		if err != nil && !errors.Is(err, shard.TransferRejectedError{}) {
			s.warnings.Do("transfer", func(int) { s.log.Warn().Msgf("shards: %v", err) })
		}
	}
}

// Reload applies the addresses of other instances; changes of all other settings need a restart.
func (s *shardSubsystem) Reload(file *operatorconfig.File) error {
	if file.Shards == nil {
		return errors.New("shards: can't be disabled by a reload: restart the program")
	}
	s.mesh.SetPeers(file.Shards.Instances)
	return nil
}

// Leave does nothing.
func (s *shardSubsystem) Leave() {}

// Close ends the router and the connections to other instances.
func (s *shardSubsystem) Close() {
	if s.router != nil {
		close(s.done)
		<-s.ended
		s.router.Close()
	}
	s.mesh.Close()
}

// status returns the content of the admin path /shards, or nil before the loop runs.
func (s *shardSubsystem) status() any {
	if s.router == nil {
		return nil
	}
	return struct {
		shardrouter.Status
		Links mesh.Status `json:"links"`
	}{s.router.Status(), s.mesh.Status()}
}
