package wire

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"example.org/bellstream/internal/cluster/quota"
	"example.org/bellstream/internal/cluster/usage"
)

// Decode decodes a message of another instance: it returns either a message of the exchange, or the
// usage from an encoded state. It returns ErrCorrupt, ErrWrongCluster, ErrUnsupportedVersion or
// ErrTooLarge, possibly wrapped, for content that must be dropped.
func Decode(cluster uint64, data []byte) (*quota.Message, []*usage.InstanceUsage, error) {
	if len(data) > MaxStateBytes {
		return nil, nil, ErrTooLarge
	}
	var e Envelope
	if err := proto.Unmarshal(data, &e); err != nil {
		return nil, nil, ErrCorrupt
	}
	if err := checkEnvelope(cluster, &e); err != nil {
		return nil, nil, err
	}
	switch body := e.Body.(type) {
	case *Envelope_Full:
		if len(data) > MaxMessageBytes {
			return nil, nil, ErrTooLarge
		}
		m, err := decodeFull(body.Full)
		return m, nil, err
	case *Envelope_Delta:
		if len(data) > MaxMessageBytes {
			return nil, nil, ErrTooLarge
		}
		m, err := decodeDelta(body.Delta)
		return m, nil, err
	case *Envelope_State:
		if body.State == nil {
			return nil, nil, ErrCorrupt
		}
		instances, err := decodeInstances(body.State.Instances)
		return nil, instances, err
	}
	return nil, nil, ErrCorrupt // no body, or of a type that a newer build added
}

// checkEnvelope returns an error if the content belongs to another cluster or needs a newer build.
// A delta message that identifies the receiver may leave the cluster out.
func checkEnvelope(cluster uint64, e *Envelope) error {
	delta := e.GetDelta()
	identifiesReceiver := delta.GetAckIncarnation() != 0 || delta.GetLinkId() != 0
	if e.Cluster != cluster && (e.Cluster != 0 || !identifiesReceiver) {
		return ErrWrongCluster
	}
	if e.MinReaderVersion > Version {
		return fmt.Errorf("%w: version %d, this is %d", ErrUnsupportedVersion, e.MinReaderVersion, Version)
	}
	return nil
}

func decodeFull(f *FullMessage) (*quota.Message, error) {
	if f == nil || !validName(f.From) || !validName(f.To) {
		return nil, ErrCorrupt
	}
	m := &quota.Message{
		Header: quota.Header{
			From:        f.From,
			To:          f.To,
			Incarnation: f.Incarnation,
			Seq:         f.Seq,
			Round:       f.Round,
			Leaving:     f.Leaving,
			Build:       f.Build,
		},
		Ack: quota.Ack{
			AckIncarnation: f.AckIncarnation,
			AckSeq:         f.AckSeq,
			AckBits:        f.AckBits,
		},
		View: quota.View{
			ViewDigest:   f.ViewDigest,
			LoansCovered: f.LoansCovered,
			TableDigest:  f.TableDigest,
		},
		RangeStart: f.RangeStart,
		RangeEnd:   f.RangeEnd,
	}
	if err := decodeContent(m, f); err != nil {
		return nil, err
	}
	return m, nil
}

func decodeDelta(d *DeltaMessage) (*quota.Message, error) {
	if d == nil || d.Page > 0 && d.Page >= d.Seq || !validAddress(d) {
		return nil, ErrCorrupt
	}
	m := &quota.Message{
		Header: quota.Header{
			Build:       quota.OwnershipBuild,
			LinkID:      d.LinkId,
			From:        d.From,
			To:          d.To,
			Incarnation: d.Incarnation,
			Seq:         d.Seq,
			Round:       d.Seq - d.Page,
			Leaving:     d.Flags&flagLeaving != 0,
		},
		Ack: quota.Ack{
			AckIncarnation: d.AckIncarnation,
			AckSeq:         d.AckSeq,
			AckBits:        ^d.AckGaps & ackMask(d.AckSeq),
		},
		View: quota.View{
			ViewDigest:   d.ViewDigest,
			TableDigest:  d.TableDigest,
			LoansCovered: d.Flags&flagLoansCovered != 0,
		},
		Delta:          true,
		AckRequested:   d.Flags&flagAckRequested != 0,
		ViewRequested:  d.Flags&flagViewRequested != 0,
		TenantsByIndex: d.Flags&flagTenantsByIndex != 0,
	}
	if m.TenantsByIndex && m.AckIncarnation == 0 && m.LinkID == 0 {
		return nil, ErrCorrupt // without an incarnation it is unknown to which table the indexes refer
	}
	if err := decodeContent(m, d); err != nil {
		return nil, err
	}
	if err := decodeDeltaContent(m, d); err != nil {
		return nil, err
	}
	return m, nil
}

// validAddress reports whether a delta message identifies sender and receiver: either by names and
// incarnations, or by a link alone.
func validAddress(d *DeltaMessage) bool {
	if d.LinkId != 0 {
		return d.From == "" && d.To == "" && d.Incarnation == 0 && d.AckIncarnation == 0
	}
	return validName(d.From) && len(d.To) <= MaxNameBytes && (d.To != "" || d.AckIncarnation != 0)
}

// content has the fields that full and delta messages have in common.
type content interface {
	GetDemands() *Fractions
	GetGrants() *Fractions
	GetCounts() *Counts
}

func decodeContent(m *quota.Message, c content) (err error) {
	if m.Demands, err = decodeFractions(c.GetDemands(), m.TenantsByIndex); err != nil {
		return err
	}
	if m.Grants, err = decodeFractions(c.GetGrants(), m.TenantsByIndex); err != nil {
		return err
	}
	m.Counts, err = decodeCounts(c.GetCounts(), m.TenantsByIndex)
	return err
}

func decodeDeltaContent(m *quota.Message, d *DeltaMessage) (err error) {
	if m.RemoteTotals, err = decodeCounts(d.RemoteTotals, m.TenantsByIndex); err != nil {
		return err
	}
	if len(d.Relayed) > 0 {
		m.RelayedUsage, err = decodeInstances(d.Relayed)
	}
	return err
}

func validName(name string) bool { return name != "" && len(name) <= MaxNameBytes }

// tenants returns the tenants of a list: the ids, or the indexes if byIndex is set.
func tenants(ids []uint64, indexes []uint32, byIndex bool) []uint64 {
	if !byIndex {
		return ids
	}
	list := make([]uint64, 0, len(indexes))
	for _, index := range indexes {
		list = append(list, uint64(index))
	}
	return list
}

func decodeFractions(f *Fractions, byIndex bool) ([]quota.TenantFraction, error) {
	if f == nil {
		return nil, nil
	}
	ids := tenants(f.Tenant, f.Index, byIndex)
	if len(ids) != len(f.Millionths) || len(ids) > MaxTenants {
		return nil, ErrCorrupt
	}
	var list []quota.TenantFraction
	for i, id := range ids {
		list = append(list, quota.TenantFraction{Tenant: id, Millionths: f.Millionths[i]})
	}
	return list, nil
}

func decodeCounts(c *Counts, byIndex bool) (usage.Counts, error) {
	if c == nil {
		return nil, nil
	}
	ids := tenants(c.Tenant, c.Index, byIndex)
	n := len(ids)
	if n > MaxTenants || len(c.Started) != n || len(c.Refunded) != n && len(c.Refunded) != 0 {
		return nil, ErrCorrupt
	}
	list := make([]usage.TenantCount, 0, n)
	for i, id := range ids {
		count := usage.Count{Started: c.Started[i]}
		if len(c.Refunded) > 0 {
			count.Refunded = c.Refunded[i]
		}
		if count.Refunded > count.Started || count.Started > maxStarted {
			return nil, ErrCorrupt
		}
		list = append(list, usage.TenantCount{Tenant: id, Count: count})
	}
	return usage.Normalize(list), nil
}

func decodeInstances(list []*Instance) ([]*usage.InstanceUsage, error) {
	if len(list) > usage.MaxInstances {
		return nil, ErrCorrupt
	}
	var instances []*usage.InstanceUsage
	for _, i := range list {
		u, err := decodeInstance(i)
		if err != nil {
			return nil, err
		}
		instances = append(instances, u)
	}
	return instances, nil
}

func decodeInstance(i *Instance) (*usage.InstanceUsage, error) {
	if i == nil || !validName(i.Name) || len(i.Incarnations) > maxIncarnations || i.RollupThrough > i.RollupWriter {
		return nil, ErrCorrupt
	}
	rollup, err := decodeCounts(i.Rollup, false)
	if err != nil {
		return nil, err
	}
	incarnations, err := decodeIncarnations(i.Incarnations)
	if err != nil {
		return nil, err
	}
	return &usage.InstanceUsage{
		Name: i.Name,
		Rollup: usage.Rollup{
			Writer:   i.RollupWriter,
			Sequence: i.RollupSequence,
			Through:  i.RollupThrough,
			Counts:   rollup,
		},
		Incarnations: incarnations,
	}, nil
}

// decodeIncarnations returns ErrCorrupt unless the incarnations are in strictly ascending order.
func decodeIncarnations(list []*Incarnation) ([]usage.IncarnationUsage, error) {
	var incarnations []usage.IncarnationUsage
	for k, i := range list {
		if k > 0 && i.GetIncarnation() <= list[k-1].GetIncarnation() {
			return nil, ErrCorrupt
		}
		counts, err := decodeCounts(i.GetCounts(), false)
		if err != nil {
			return nil, err
		}
		incarnations = append(incarnations, usage.IncarnationUsage{Incarnation: i.GetIncarnation(), Counts: counts})
	}
	return incarnations, nil
}
