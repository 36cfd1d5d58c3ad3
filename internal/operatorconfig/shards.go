package operatorconfig

import (
	"errors"
	"fmt"

	"example.org/bellstream/internal/cluster/shard"
)

// Shards configures shards, each of which belongs to one instance and holds the queues of some tenants.
type Shards struct {
	Count        int               `hcl:"count"`     // number of shards; fixed once their owners are agreed on
	Listen       string            `hcl:"listen"`    // TCP address for other instances
	Instances    map[string]string `hcl:"instances"` // addresses by name
	Tolerance    *float64          `hcl:"tolerance,optional"`
	MaxTransfers *int              `hcl:"at_once,optional"`
	MaxJobs      *int              `hcl:"entries,optional"` // per shard
}

// Defaults of the shards block.
const (
	DefaultShardTolerance = 0.1
	DefaultShardTransfers = 8
	DefaultShardJobs      = 100000
)

// Settings returns the bounds and limits in the shards block, with defaults for missing keys.
func (s *Shards) Settings() (bounds shard.Bounds, limits shard.Limits) {
	bounds = shard.Bounds{
		Tolerance:    DefaultShardTolerance,
		MaxTransfers: DefaultShardTransfers,
	}
	limits = shard.Limits{MaxJobs: DefaultShardJobs}
	override(&bounds.Tolerance, s.Tolerance)
	override(&bounds.MaxTransfers, s.MaxTransfers)
	override(&limits.MaxJobs, s.MaxJobs)
	return bounds, limits
}

// checkShards validates the shards block.
func (f *File) checkShards(errs *collector) {
	s := f.Shards
	if s == nil {
		return
	}
	if f.Lease == nil {
		errs.add("shards", "", errors.New("has no effect without an accord block, which shard owners need"))
	}
	if s.Count < 1 || s.Count > shard.MaxShards {
		errs.add("shards", "count", fmt.Errorf("%d is not from 1 to %d", s.Count, shard.MaxShards))
	}
	errs.add("shards", "listen", checkAddress(s.Listen, false))
	for name, address := range s.Instances {
		if err := checkAddress(address, true); err != nil {
			errs.add("shards", "instances", fmt.Errorf("%q: %w", name, err))
		}
	}
	bounds, limits := s.Settings()
	if !(bounds.Tolerance >= 0 && bounds.Tolerance < 1) {
		errs.add("shards", "tolerance", fmt.Errorf("%v is not from 0 to below 1", bounds.Tolerance))
	}
	if bounds.MaxTransfers < 1 || bounds.MaxTransfers > 1024 {
		errs.add("shards", "at_once", fmt.Errorf("%d is not from 1 to 1024", bounds.MaxTransfers))
	}
	if limits.MaxJobs < 1 || limits.MaxJobs > shard.MaxRecords {
		errs.add("shards", "entries", fmt.Errorf("%d is not from 1 to %d", limits.MaxJobs, shard.MaxRecords))
	}
}
