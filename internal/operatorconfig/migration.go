package operatorconfig

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/migration"
)

// Migration configures how services migrate between clusters.
type Migration struct {
	Self               string          `hcl:"self"` // this cluster's name in the rules
	Peers              []MigrationPeer `hcl:"peer,block"`
	MaxConcurrentMoves *int            `hcl:"at_once,optional"` // moves to one peer at the same time
	SettledTime        string          `hcl:"linger,optional"`  // duration for which a settled move stays open
}

// MigrationPeer is another cluster, which services migrate to and from.
type MigrationPeer struct {
	Name    string            `hcl:"name,label"` // the cluster's name in the rules
	Cluster string            `hcl:"cluster"`    // cluster of the accord block there
	Voters  map[string]string `hcl:"voters"`     // some or all voters of the accord block there, addresses by name
}

// Defaults of the clusters block.
const (
	DefaultConcurrentMoves = 4
	DefaultSettledTime     = 30 * time.Second
)

const maxConcurrentMoves = 1024

// Settings returns the settings of the clusters block, with defaults for missing keys.
func (m *Migration) Settings() (concurrentMoves int, settledTime time.Duration, err error) {
	concurrentMoves = DefaultConcurrentMoves
	settledTime = DefaultSettledTime
	override(&concurrentMoves, m.MaxConcurrentMoves)
	if m.SettledTime == "" {
		return concurrentMoves, settledTime, nil
	}
	settledTime, err = time.ParseDuration(m.SettledTime)
	if err != nil || settledTime < 0 {
		return 0, 0, fmt.Errorf("%q is not a duration of 0 or more (example: \"30s\")", m.SettledTime)
	}
	return concurrentMoves, settledTime, nil
}

// checkMigration validates the clusters block, and that the rules block matches it.
func (f *File) checkMigration(errs *collector) {
	block := f.Migration
	if block == nil {
		return
	}
	if f.Lease == nil {
		errs.add("clusters", "", errors.New("has no effect without an accord block, which ledgers need"))
	}
	if block.Self == "" || len(block.Self) > migration.MaxName {
		errs.add("clusters", "self", fmt.Errorf("must be a name of 1 to %d bytes", migration.MaxName))
	}
	concurrentMoves, _, err := block.Settings()
	errs.add("clusters", "linger", err)
	if err == nil && (concurrentMoves < 1 || concurrentMoves > maxConcurrentMoves) {
		errs.add("clusters", "at_once", fmt.Errorf("%d is not from 1 to %d", concurrentMoves, maxConcurrentMoves))
	}
	f.checkMigrationPeers(errs)
	f.checkPlacements(errs)
}

func (f *File) checkMigrationPeers(errs *collector) {
	block := f.Migration
	if len(block.Peers) == 0 {
		errs.add("clusters", "", errors.New("there is no peer block: services have no cluster to migrate to"))
	}
	seen := map[string]bool{block.Self: true}
	for _, p := range block.Peers {
		if seen[p.Name] {
			errs.addPeer(p, errors.New("the name is already used by another peer or by self"))
		}
		seen[p.Name] = true
		if p.Cluster == "" || f.Lease != nil && p.Cluster == f.Lease.Cluster {
			errs.addPeer(p, errors.New("cluster must be that of the accord block there, and differ from the one here"))
		}
		if len(p.Voters) == 0 {
			errs.addPeer(p, errors.New("voters must name at least one voter of the accord block there"))
		}
		for name, address := range p.Voters {
			if err := checkAddress(address, true); err != nil {
				errs.addPeer(p, fmt.Errorf("voter %q: %w", name, err))
			}
		}
	}
}

// addPeer adds an error of a peer block.
func (c *collector) addPeer(p MigrationPeer, err error) {
	c.add("clusters", "", fmt.Errorf("peer %q: %w", p.Name, err))
}

// checkPlacements checks that the rules block, if any, has this cluster and an origin for each placement.
func (f *File) checkPlacements(errs *collector) {
	if f.Config == nil {
		return
	}
	self := f.Migration.Self
	if !slices.ContainsFunc(f.Config.Clusters, func(c config.ClusterBlock) bool { return c.Name == self }) {
		errs.add("clusters", "self",
			fmt.Errorf("the rules block has no cluster %q: its capacity ledger could promise nothing", self))
	}
	for _, p := range f.Config.Placements {
		if p.Origin == "" {
			errs.add("rules", "", fmt.Errorf("placement %q: with a clusters block it needs an origin, "+
				"the cluster whose ledger has its reservation at first", p.Service))
		}
	}
}
