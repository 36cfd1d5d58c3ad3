package shardrouter

import (
	"fmt"
	"slices"

	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/shard"
	"example.org/bellstream/internal/cluster/shard/wire"
)

func (s *sim) node(name string) *node {
	for _, x := range s.nodes {
		if x.name == name {
			return x
		}
	}
	return nil
}

// transmit delivers the messages of a frame one by one, so that each may be lost, delayed or duplicated.
func (s *sim) transmit(from *node, to string, encoded []byte) {
	s.frames, s.bytes = s.frames+1, s.bytes+float64(len(encoded))
	parsed, err := parseFrame(encoded)
	if err != nil {
		s.fail("invalid frame from %s: %v", from.name, err)
		return
	}
	n := s.node(to)
	if n == nil {
		return
	}
	frameOf := func(m []byte) []byte {
		f := newFrame(parsed.incarnation, parsed.flags)
		if m != nil {
			f = appendMessage(f, m)
		}
		return f
	}
	messages := parsed.messages
	if len(messages) == 0 {
		messages = [][]byte{nil}
	}
	for _, raw := range messages {
		if raw != nil {
			m, err := wire.Decode(s.cluster(), raw)
			if err != nil {
				s.fail("invalid message from %s: %v", from.name, err)
				continue
			}
			if g, ok := m.(shard.Grant); ok {
				s.checkGrantLease(from, g)
				if g.Kind == shard.Send {
					s.recordFirstGrant(g.ID)
				}
				s.epochs[fmt.Sprint(g.ID, " ", g.Attempt)] = g.Epoch
			}
			if s.filter != nil {
				var ok bool
				if m, ok = s.filter(from, n, m); !ok {
					continue
				}
				raw, _ = wire.Encode(s.cluster(), m)
			}
			if g, ok := m.(shard.Grant); ok && s.skipGrantChecks && g.Kind == shard.Send {
				s.schedule(s.now+0.001, func() { n.runOrDefer(func() { n.send(g.ID, g.Worker) }) })
				continue
			}
		}
		f := frameOf(raw)
		for copies := 1 + boolToInt(s.rng.Float64() < s.repeat); copies > 0; copies-- {
			if s.rng.Float64() < s.loss || from.isolated || n.isolated {
				continue
			}
			receive := func() { n.runOrDefer(func() { n.r.Receive(from.name, slices.Clone(f)); n.runWorkers() }) }
			s.schedule(s.now+s.delay*s.rng.Float64(), func() { from.runOrDefer(receive) }) // a paused sender keeps it in its buffers
		}
	}
}

func (s *sim) cluster() uint64 { return wire.ClusterDigest("c") }

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// checkGrantLease checks that the sender of a grant has a lease now, of a table that names it as the shard's owner at
// the grant's epoch.
func (s *sim) checkGrantLease(from *node, g shard.Grant) {
	if from.leasedTable == nil || s.now >= from.leaseEnd || from.leasedTable.ShardOwners[g.Shard] != (config.ShardOwner{Name: from.name, Epoch: g.Epoch}) {
		s.fail("%s granted for shard %d at epoch %d without a lease for it", from.name, g.Shard, g.Epoch)
	}
}
