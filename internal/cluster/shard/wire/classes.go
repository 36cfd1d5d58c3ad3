package wire

import "example.org/bellstream/balance"

// classTable collects the definitions of classes that the records of a message refer to.
type classTable struct {
	messages []*ClassMessage
	indexes  map[balance.Class]uint32
}

// index returns the index, from 1, of a definition in the table, and 0 for nil. It adds a definition that the table
// does not have.
func (t *classTable) index(class *balance.Class) uint32 {
	if class == nil {
		return 0
	}
	if i, ok := t.indexes[*class]; ok {
		return i
	}
	if t.indexes == nil {
		t.indexes = map[balance.Class]uint32{}
	}
	t.messages = append(t.messages, classMessage(class))
	i := uint32(len(t.messages))
	t.indexes[*class] = i
	return i
}

func classMessage(c *balance.Class) *ClassMessage {
	return &ClassMessage{
		Name:               []byte(c.Name),
		Idempotence:        []byte(c.Idempotence),
		DedupScope:         []byte(c.DedupScope),
		DedupWindow:        c.DedupWindow,
		LatencyObjective:   c.LatencyObjective,
		ObjectiveStretch:   c.ObjectiveStretch,
		Deadline:           c.Deadline,
		PriorityWeight:     c.PriorityWeight,
		LateWeightFraction: c.LateWeightFraction,
		WorkerKind:         []byte(c.WorkerKind),
		MaxWait:            c.MaxWait,
	}
}

// classes decodes the definitions that the records of a message refer to. The records share them.
func (d *decoder) classes(messages []*ClassMessage) []*balance.Class {
	all := make([]*balance.Class, len(messages))
	for i, m := range messages {
		all[i] = d.class(m)
	}
	return all
}

func (d *decoder) class(m *ClassMessage) *balance.Class {
	return &balance.Class{
		Name:               d.optionalName(m.GetName()),
		Idempotence:        balance.Idempotence(d.optionalName(m.GetIdempotence())),
		DedupScope:         balance.DedupScope(d.optionalName(m.GetDedupScope())),
		DedupWindow:        d.finite(m.GetDedupWindow()),
		LatencyObjective:   d.finite(m.GetLatencyObjective()),
		ObjectiveStretch:   d.finite(m.GetObjectiveStretch()),
		Deadline:           d.finite(m.GetDeadline()),
		PriorityWeight:     d.finite(m.GetPriorityWeight()),
		LateWeightFraction: d.finite(m.GetLateWeightFraction()),
		WorkerKind:         d.optionalName(m.GetWorkerKind()),
		MaxWait:            d.finite(m.GetMaxWait()),
	}
}

// acceptedClass returns the definition with an index that a record refers to; nil for index 0.
func (d *decoder) acceptedClass(classes []*balance.Class, index uint32) *balance.Class {
	if index == 0 {
		return nil
	}
	i := d.bounded(index-1, len(classes))
	if d.invalid {
		return nil
	}
	return classes[i]
}
