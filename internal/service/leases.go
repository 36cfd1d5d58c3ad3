package service

import (
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/lease/agent"
	"example.org/bellstream/internal/cluster/migration"
	"example.org/bellstream/internal/cluster/migration/coordinator"
	"example.org/bellstream/internal/dispatcher"
	"example.org/bellstream/internal/operatorconfig"
	"example.org/bellstream/internal/settings"
)

// cachedConfigs is the size of the cache: two versions, each with and without a lease.
const cachedConfigs = 4

// configSource gives the loop the configuration that the instance's lease permits. Each table is converted
// once, so that the loop can detect a change by comparing pointers.
type configSource struct {
	agent  *agent.Agent
	mu     sync.Mutex
	cached [cachedConfigs]effectiveConfig
	next   int // the entry to overwrite next
}

type effectiveConfig struct {
	table  *config.Table
	config *dispatcher.EffectiveConfig
}

// Effective implements dispatcher.ConfigSource.
func (s *configSource) Effective(at time.Time) *dispatcher.EffectiveConfig {
	table := s.agent.EffectiveConfig(at)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, entry := range s.cached {
		if entry.table == table {
			return entry.config
		}
	}
	converted := convertTable(table)
	s.cached[s.next] = effectiveConfig{table: table, config: converted}
	s.next = (s.next + 1) % len(s.cached)
	return converted
}

func convertTable(table *config.Table) *dispatcher.EffectiveConfig {
	converted := &dispatcher.EffectiveConfig{
		Cordoned: map[string]bool{},
		Override: func(platform *settings.Settings) *settings.Settings {
			return table.Override(platform, table.UsableReservations())
		},
	}
	for _, worker := range table.CordonedWorkers {
		converted.Cordoned[worker] = true
	}
	return converted
}

// Acknowledge implements dispatcher.ConfigSource.
func (s *configSource) Acknowledge(applied *dispatcher.EffectiveConfig) {
	if table := s.tableOf(applied); table != nil {
		s.agent.Acknowledge(table)
	}
}

// tableOf returns the table that a configuration was converted from, or nil once it is no longer cached.
func (s *configSource) tableOf(applied *dispatcher.EffectiveConfig) *config.Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	var table *config.Table
	for _, entry := range s.cached {
		if entry.config == applied {
			table = entry.table
		}
	}
	return table
}

// leaseSubsystem proposes the operator file's rules block at the start and on each reload.
type leaseSubsystem struct{ *agent.Agent }

// Reload proposes the file's rules block. If the file no longer has one, a pending proposal is withdrawn.
func (s leaseSubsystem) Reload(file *operatorconfig.File) error {
	if file.Lease == nil {
		return errors.New("accord: can't be disabled by a reload: restart the program")
	}
	var proposal agent.Proposal
	if p := file.Proposal(); p != nil {
		proposal = p.TableOn
	}
	s.Propose(proposal)
	return nil
}

// Leave does nothing: jobs in flight are served under the lease until the process ends. Releasing the lease when the
// shutdown begins would prevent retries of idempotent jobs during a rolling restart.
func (s leaseSubsystem) Leave() {}

func newLeaseAgent(
	file *operatorconfig.File, conf *settings.Instance, log zerolog.Logger, onChange func(),
) (*agent.Agent, error) {
	options, err := leaseOptions(file, conf)
	if err != nil {
		return nil, err
	}
	options.Log = log
	options.OnChange = onChange
	if options.IgnoreLeases {
		log.Warn().Msg("accord: leases = false: instances may apply conflicting rules; for experiments only")
	}
	options.Migration, err = migrationOptions(file, conf)
	if err != nil {
		return nil, err
	}
	leases, err := agent.New(options)
	if err != nil {
		return nil, err
	}
	if p := file.Proposal(); p != nil {
		leases.Propose(p.TableOn)
	}
	return leases, nil
}

func leaseOptions(file *operatorconfig.File, conf *settings.Instance) (agent.Options, error) {
	leaseSettings, err := file.LeaseSettings()
	if err != nil {
		return agent.Options{}, err
	}
	block := file.Lease
	options := agent.Options{
		Name:          block.Name,
		Incarnation:   incarnation(time.Now(), rand.Uint64()),
		Cluster:       block.Cluster,
		StateDir:      block.Folder,
		ListenAddress: block.Listen,
		Voters:        block.Voters,
		LeaseSettings: leaseSettings,
		JournalPath:   block.Journal,
		IgnoreLeases:  block.Leases != nil && !*block.Leases,
		Now:           time.Now,
	}
	if options.Name == "" {
		options.Name = conf.Name
	}
	if shards := file.Shards; shards != nil {
		options.ShardPlacement.Shards = shards.Count
		options.ShardPlacement.Bounds, _ = shards.Settings()
	}
	return options, nil
}

// migrationOptions converts the clusters block; the result is nil if the file has none. The slow start of workers is
// taken from the platform's settings.
func migrationOptions(file *operatorconfig.File, conf *settings.Instance) (*agent.Migration, error) {
	block := file.Migration
	if block == nil {
		return nil, nil
	}
	maxConcurrent, linger, err := block.Settings()
	if err != nil {
		return nil, err
	}
	balancing := conf.Settings.Config()
	slowStart := migration.SlowStart{
		SlowStartFloor:   balancing.SlowStartFloor,
		SlowStartSeconds: balancing.SlowStartSeconds,
		OverloadMultiple: balancing.OverloadMultiple,
	}
	options := &agent.Migration{
		PeerClusters: map[string]agent.PeerCluster{},
		Options: coordinator.Options{
			Self:               block.Self,
			MaxConcurrentMoves: maxConcurrent,
			SettledSeconds:     linger.Seconds(),
			Pacer:              migration.Pacer{SlowStart: slowStart},
		},
	}
	for _, peer := range block.Peers {
		options.PeerClusters[peer.Name] = agent.PeerCluster{
			Cluster:        peer.Cluster,
			VoterAddresses: slices.Sorted(maps.Values(peer.Voters)),
		}
	}
	return options, nil
}
