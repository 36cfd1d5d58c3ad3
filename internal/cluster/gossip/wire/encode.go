package wire

import (
	"google.golang.org/protobuf/proto"

	"example.org/bellstream/internal/cluster/quota"
	"example.org/bellstream/internal/cluster/usage"
)

// EncodeMessage encodes a message of the exchange. cluster is the ClusterDigest. It returns nil
// if a name is not valid UTF-8.
func EncodeMessage(cluster uint64, m *quota.Message) []byte { return marshal(newEnvelope(cluster, m)) }

// EncodeState encodes the usage of all instances that s holds. cluster is the ClusterDigest. It
// returns nil if a name is not valid UTF-8.
func EncodeState(cluster uint64, s usage.State) []byte {
	state := &StateMessage{}
	s.ForEach(func(u *usage.InstanceUsage) bool {
		state.Instances = append(state.Instances, encodeInstance(u))
		return true
	})
	return marshal(&Envelope{
		Version:          Version,
		MinReaderVersion: MinReaderVersion,
		Cluster:          cluster,
		Body:             &Envelope_State{State: state},
	})
}

func marshal(e *Envelope) []byte {
	data, err := proto.Marshal(e)
	if err != nil { // only if a string is not valid UTF-8; names are checked at start-up
		return nil
	}
	return data
}

func newEnvelope(cluster uint64, m *quota.Message) *Envelope {
	if !m.Delta {
		return &Envelope{
			Version:          Version,
			MinReaderVersion: MinReaderVersion,
			Cluster:          cluster,
			Body:             &Envelope_Full{Full: encodeFull(m)},
		}
	}
	// Every build that reads delta messages reads them without a version.
	if identifiesReceiver(m) { // an incarnation belongs to only one cluster, so that the digest is redundant
		cluster = 0
	}
	return &Envelope{Cluster: cluster, Body: &Envelope_Delta{Delta: encodeDelta(m)}}
}

// identifiesReceiver reports whether a delta message identifies the receiver's incarnation, either
// directly or by a link.
func identifiesReceiver(m *quota.Message) bool { return m.AckIncarnation != 0 || m.LinkID != 0 }

func encodeFull(m *quota.Message) *FullMessage {
	return &FullMessage{
		From:           m.From,
		To:             m.To,
		Incarnation:    m.Incarnation,
		Seq:            m.Seq,
		Round:          m.Round,
		AckIncarnation: m.AckIncarnation,
		AckSeq:         m.AckSeq,
		AckBits:        m.AckBits,
		ViewDigest:     m.ViewDigest,
		LoansCovered:   m.LoansCovered,
		Leaving:        m.Leaving,
		RangeStart:     m.RangeStart,
		RangeEnd:       m.RangeEnd,
		TableDigest:    m.TableDigest,
		Demands:        encodeFractions(m.Demands, false),
		Grants:         encodeFractions(m.Grants, false),
		Counts:         encodeCounts(m.Counts, false),
		Build:          m.Build,
	}
}

func encodeDelta(m *quota.Message) *DeltaMessage {
	d := &DeltaMessage{
		LinkId:         m.LinkID,
		From:           m.From,
		Incarnation:    m.Incarnation,
		Seq:            m.Seq,
		Page:           m.Seq - m.Round,
		AckIncarnation: m.AckIncarnation,
		AckSeq:         m.AckSeq,
		AckGaps:        ^m.AckBits & ackMask(m.AckSeq),
		ViewDigest:     m.ViewDigest,
		TableDigest:    m.TableDigest,
		Flags:          encodeFlags(m),
		Demands:        encodeFractions(m.Demands, m.TenantsByIndex),
		Grants:         encodeFractions(m.Grants, m.TenantsByIndex),
		Counts:         encodeCounts(m.Counts, m.TenantsByIndex),
		RemoteTotals:   encodeCounts(m.RemoteTotals, m.TenantsByIndex),
	}
	if !identifiesReceiver(m) {
		d.To = m.To
	}
	for _, u := range m.RelayedUsage {
		d.Relayed = append(d.Relayed, encodeInstance(u))
	}
	return d
}

func encodeFlags(m *quota.Message) uint32 {
	flags := uint32(0)
	set := func(flag uint32, on bool) {
		if on {
			flags |= flag
		}
	}
	set(flagLoansCovered, m.LoansCovered)
	set(flagLeaving, m.Leaving)
	set(flagAckRequested, m.AckRequested)
	set(flagViewRequested, m.ViewRequested)
	set(flagTenantsByIndex, m.TenantsByIndex)
	return flags
}

func encodeInstance(u *usage.InstanceUsage) *Instance {
	i := &Instance{
		Name:           u.Name,
		RollupWriter:   u.Rollup.Writer,
		RollupSequence: u.Rollup.Sequence,
		RollupThrough:  u.Rollup.Through,
		Rollup:         encodeCounts(u.Rollup.Counts, false),
	}
	for _, incarnation := range u.Incarnations {
		i.Incarnations = append(i.Incarnations, &Incarnation{
			Incarnation: incarnation.Incarnation,
			Counts:      encodeCounts(incarnation.Counts, false),
		})
	}
	return i
}

// encodeFractions returns nil for an empty list.
func encodeFractions(list []quota.TenantFraction, byIndex bool) *Fractions {
	if len(list) == 0 {
		return nil
	}
	f := &Fractions{}
	for _, x := range list {
		if byIndex {
			f.Index = append(f.Index, uint32(x.Tenant))
		} else {
			f.Tenant = append(f.Tenant, x.Tenant)
		}
		f.Millionths = append(f.Millionths, x.Millionths)
	}
	return f
}

// encodeCounts returns nil for an empty list, and leaves out Refunded if all refunds are 0.
func encodeCounts(list usage.Counts, byIndex bool) *Counts {
	if len(list) == 0 {
		return nil
	}
	c := &Counts{}
	refunded := false
	for _, x := range list {
		if byIndex {
			c.Index = append(c.Index, uint32(x.Tenant))
		} else {
			c.Tenant = append(c.Tenant, x.Tenant)
		}
		c.Started = append(c.Started, x.Started)
		c.Refunded = append(c.Refunded, x.Refunded)
		refunded = refunded || x.Refunded > 0
	}
	if !refunded {
		c.Refunded = nil
	}
	return c
}
