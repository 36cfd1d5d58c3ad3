package service

import (
	"fmt"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"example.org/bellstream/internal/admin"
	"example.org/bellstream/internal/cluster/lease/agent"
	"example.org/bellstream/internal/deferred"
	"example.org/bellstream/internal/dispatcher"
	"example.org/bellstream/internal/operatorconfig"
	"example.org/bellstream/internal/settings"
)

// builder starts the subsystems that an operator's file enables, and sets their options of the loop.
type builder struct {
	file       *operatorconfig.File
	conf       *settings.Instance
	log        zerolog.Logger
	options    *dispatcher.Options
	subsystems *subsystems
	admin      *admin.Server // nil without an admin block
	agent      *agent.Agent  // nil without an accord block
}

// build starts what the operator's file enables; without a file there are no subsystems.
func build(
	file *operatorconfig.File, conf *settings.Instance, log zerolog.Logger, options *dispatcher.Options,
) (*subsystems, error) {
	b := &builder{file: file, conf: conf, log: log, options: options, subsystems: &subsystems{}}
	if file == nil {
		return b.subsystems, nil
	}
	steps := []func() error{
		b.listenAdmin,
		b.startGossip,
		b.startLeases,
		b.startShards,
		b.setMaxWaits,
		b.startDeferred,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			b.subsystems.close()
			return nil, err
		}
	}
	b.serveAdmin()
	return b.subsystems, nil
}

// listenAdmin opens the admin listener. Requests are served from serveAdmin on, when the other subsystems have
// registered with it.
func (b *builder) listenAdmin() error {
	if b.file.Admin == nil {
		return nil
	}
	server, err := admin.New(b.file.Admin.Listen)
	if err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	phases := b.options.Phases
	phase := prometheus.GaugeOpts{
		Name: "bellstream_phase",
		Help: "0 starting, 1 serving, 2 paused, 3 retiring, 4 draining, 5 closing, 6 stopped.",
	}
	server.Registry.MustRegister(prometheus.NewGaugeFunc(phase, func() float64 { return float64(phases.Now()) }))
	b.admin = server
	b.subsystems.add(adminSubsystem{server})
	return nil
}

func (b *builder) startGossip() error {
	if b.file.Gossip == nil {
		b.showJSON("/peers", func() any { return nil })
		return nil
	}
	node, err := newGossipNode(b.file, b.conf, b.log, b.subsystems.updateQuotas)
	if err != nil {
		return err
	}
	b.options.Usage = node
	b.subsystems.add(gossipSubsystem{node})
	b.register(node.Collector())
	b.showJSON("/peers", func() any { return node.Status() })
	b.showJSON("/counts", func() any { return node.Usage() })
	return nil
}

func (b *builder) startLeases() error {
	if b.file.Lease == nil {
		return nil
	}
	leases, err := newLeaseAgent(b.file, b.conf, b.log, b.subsystems.notifyConfigChange)
	if err != nil {
		return err
	}
	b.agent = leases
	b.options.ConfigSource = &configSource{agent: leases}
	b.subsystems.add(leaseSubsystem{leases})
	b.register(newLeaseCollector(leases))
	b.showJSON("/accord", func() any { return leases.Status() })
	b.showJSON("/clusters", func() any {
		if status := leases.MigrationStatus(); status != nil {
			return status
		}
		return nil // without this, the interface would hold a nil pointer and not be nil
	})
	return nil
}

func (b *builder) startShards() error {
	if b.agent == nil || b.file.Shards == nil {
		return nil
	}
	b.subsystems.sharded = true
	shards, err := newShardSubsystem(b)
	if err != nil {
		return err
	}
	b.subsystems.add(shards)
	b.register(newShardCollector(shards))
	b.showJSON("/shards", shards.status)
	return nil
}

func (b *builder) setMaxWaits() error {
	waits, err := b.file.MaxWaits(b.conf.Settings.Classes)
	b.options.MaxWaits = waits
	return err
}

func (b *builder) startDeferred() error {
	if b.file.Deferred != nil {
		limits, err := deferredLimits(b.file, b.conf)
		if err != nil {
			return err
		}
		b.options.Deferred = deferred.New(limits)
		b.subsystems.add(deferredSubsystem{b.subsystems, b.conf})
		b.register(newDeferredCollector(b.subsystems.stats))
	}
	b.subsystems.add(maxWaitSubsystem{b.subsystems, b.conf})
	return nil
}

// serveAdmin starts the admin listener. It is the last step, as all paths and metrics must be registered before.
func (b *builder) serveAdmin() {
	if b.admin == nil {
		return
	}
	b.options.Depths = deferred.NewDepths()
	b.register(newQueueCollector(b.subsystems.stats))
	b.showJSON("/waiting", func() any {
		if stats, ok := b.subsystems.stats(); ok {
			return stats
		}
		return nil
	})
	b.admin.Start()
	b.log.Info().Msgf("admin listens on %s", b.admin.Addr())
}

func (b *builder) register(collector prometheus.Collector) {
	if b.admin != nil {
		b.admin.Registry.MustRegister(collector)
	}
}

func (b *builder) showJSON(path string, content func() any) {
	if b.admin != nil {
		b.admin.JSON(path, content)
	}
}

// adminSubsystem is the admin listener. A change of its address needs a restart.
type adminSubsystem struct{ *admin.Server }

// Reload does nothing.
func (adminSubsystem) Reload(*operatorconfig.File) error { return nil }

// Leave does nothing, so that operators can watch the shutdown.
func (adminSubsystem) Leave() {}
