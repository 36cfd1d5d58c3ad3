package service

import (
	"github.com/rs/zerolog"

	"example.org/bellstream/internal/cluster/gossip"
	"example.org/bellstream/internal/cluster/lease/agent"
	"example.org/bellstream/internal/cluster/shardrouter"
	"example.org/bellstream/internal/dispatcher"
	"example.org/bellstream/internal/operatorconfig"
	"example.org/bellstream/internal/settings"
)

// Subsystems are the subsystems of an operator's file for a caller that supplies its own loop, such as package hollow
// of the lab.
type Subsystems struct {
	// Options are the loop's options. The subsystems set Usage, ConfigSource and NewScheduler, among others.
	Options    dispatcher.Options
	subsystems *subsystems
}

// NewSubsystems reads a dispatcher's configuration and its operator's file, and starts the subsystems that the file
// enables. Their calls of the loop are dropped until Bind.
func NewSubsystems(configPath, operatorPath string, log zerolog.Logger) (*Subsystems, error) {
	conf, err := settings.Load(configPath)
	if err != nil {
		return nil, err
	}
	file, err := operatorconfig.Load(operatorPath)
	if err != nil {
		return nil, err
	}
	options := dispatcher.Options{
		Settings:        conf.Settings,
		Seed:            conf.Seed,
		CachedEndpoints: conf.CachedEndpoints,
		Phases:          &dispatcher.Phases{},
	}
	s := &Subsystems{Options: options}
	s.subsystems, err = build(file, conf, log, &s.Options)
	if err != nil {
		return nil, err
	}
	return s, nil
}

// Bind sets the loop that the subsystems call.
func (s *Subsystems) Bind(loop Loop) { s.subsystems.bind(loop) }

// Gossip returns the instance's cluster membership, or nil if the file has no peers block.
func (s *Subsystems) Gossip() *gossip.Node {
	node, _ := s.Options.Usage.(*gossip.Node)
	return node
}

// Leases returns the instance's lease agent, or nil if the file has no accord block.
func (s *Subsystems) Leases() *agent.Agent {
	for _, running := range s.subsystems.running {
		if leases, ok := running.(leaseSubsystem); ok {
			return leases.Agent
		}
	}
	return nil
}

// Shards returns the shard router. It is nil if the file has no shards block, and until Options.NewScheduler has been
// called.
func (s *Subsystems) Shards() *shardrouter.Router {
	for _, running := range s.subsystems.running {
		if shards, ok := running.(*shardSubsystem); ok {
			return shards.router
		}
	}
	return nil
}

// Leave announces the shutdown to the subsystems.
func (s *Subsystems) Leave() { s.subsystems.leave() }

// Close ends the subsystems; they must not be used afterwards.
func (s *Subsystems) Close() { s.subsystems.close() }

// ApplyLimits applies the CPU and memory limits of a dispatcher's configuration to this process.
func ApplyLimits(configPath string) error {
	conf, err := settings.Load(configPath)
	if err != nil {
		return err
	}
	applyLimits(conf, 1)
	return nil
}
