package agent

import (
	"testing"
	"time"

	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/shard"
)

// The leader assigns shards to the configured instances that hold a lease. The shards of an instance that stops are
// assigned to the others. An instance that reports that it has received a shard becomes its owner.
func TestShardsFollowLiveInstances(t *testing.T) {
	t.Parallel()
	all := newCluster(t)
	for i, n := range all {
		n.options.ShardPlacement = ShardPlacement{12, shard.Bounds{Tolerance: 0.1, MaxTransfers: 4}}
		all[i] = startNode(t, n.options, uint64(i+1))
		defer func() { all[i].stop() }()
	}
	all[0].Propose(func(history []*config.Table, by string) (*config.Table, error) {
		newest := *history[len(history)-1]
		if newest.Version > 0 {
			return history[len(history)-1], nil
		}
		newest.Version = 1
		newest.ProposedBy = by
		newest.ShardInstances = []string{"n0", "n3", "n4"}
		return &newest, nil
	})
	owned := func(n *node, name string) (count int, epochs uint64) {
		for _, s := range n.EffectiveConfig(time.Now()).ShardOwners {
			if s.Name == name {
				count++
				epochs += s.Epoch
			}
		}
		return count, epochs
	}
	waitFor(t, "each of the three instances owns four shards", func() bool {
		for _, name := range []string{"n0", "n3", "n4"} {
			if n, epochs := owned(all[1], name); n != 4 || epochs != 4 {
				return false
			}
		}
		return true
	})
	all[3].stop()
	waitFor(t, "the shards of the stopped instance are owned by the others", func() bool {
		count0, epochs0 := owned(all[4], "n0")
		count4, epochs4 := owned(all[4], "n4")
		return count0 == 6 && count4 == 6 && epochs0+epochs4 == 16
	})
	all[3] = startNode(t, all[3].options, 33)
	var outgoing []shard.Transfer
	waitFor(t, "an instance with too many shards is asked to give some away", func() bool {
		outgoing, _ = all[0].ReportShards(nil)
		return len(outgoing) > 0
	})
	transfer := outgoing[0]
	epoch := all[0].EffectiveConfig(time.Now()).ShardOwner(transfer.Shard).Epoch
	waitFor(t, "the instance that has received the shard owns it", func() bool {
		all[3].ReportShards([]shard.OwnerChange{{Shard: transfer.Shard, Epoch: epoch, To: "n3"}})
		s := all[4].EffectiveConfig(time.Now()).ShardOwner(transfer.Shard)
		return s.Name == "n3" && s.Epoch == epoch+1
	})
}
