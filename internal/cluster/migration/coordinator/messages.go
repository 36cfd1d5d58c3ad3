package coordinator

import (
	"maps"
	"slices"

	"example.org/bellstream/internal/cluster/migration"
)

// otherCluster returns the receiver of a message, given whether its sender is the move's source.
func otherCluster(id migration.ID, source bool) string {
	if source {
		return id.To
	}
	return id.From
}

// Receive stores messages of other clusters and returns the immediate answers. A later
// Next proposes the resulting changes, and the messages of Outbox reflect them only after
// they are in force.
func (c *Coordinator) Receive(now float64, messages []migration.Message) (answers []migration.Message) {
	if !c.active() {
		return nil
	}
	for _, m := range messages {
		if !c.fromPeer(m) {
			c.dropped[droppedUnknownPeer]++
			continue
		}
		if answer, ok := c.inForce.state.Answer(m); ok {
			answers = append(answers, c.withAdvice(now, answer))
		}
		c.track(m)
	}
	return answers
}

// fromPeer reports whether a message is from a configured peer and addressed to this cluster.
func (c *Coordinator) fromPeer(m migration.Message) bool {
	sender := otherCluster(m.ID, !m.Source)
	receiver := otherCluster(m.ID, m.Source)
	return receiver == c.options.Self && slices.Contains(c.options.Peers, sender)
}

// track stores a message as the last one of its move, unless it is older than the stored one or
// MaxTrackedMoves is reached.
func (c *Coordinator) track(m migration.Message) {
	tracked := c.progress.lastMessages
	previous, ok := tracked[m.ID]
	if ok && previous.Number > m.Number {
		c.dropped[droppedLate]++
		return
	}
	if !ok && len(tracked) >= MaxTrackedMoves {
		c.dropped[droppedTooManyMoves]++
		return
	}
	c.reviewDue = c.reviewDue || !ok || previous != m
	tracked[m.ID] = m
}

// withAdvice returns the message with this side's Advice.
func (c *Coordinator) withAdvice(now float64, message migration.Message) migration.Message {
	m := c.inForce.state.Move(message.ID.Key)
	if m == nil || m.ID != message.ID {
		return message
	}
	since, ok := c.progress.firstStepAt[message.ID]
	if !ok {
		since = now
		if m.Local > 0 {
			c.progress.firstStepAt[message.ID] = now
		}
	}
	message.Advice = migration.Advice{
		CapacityStep: c.options.Pacer.CapacityStep(m, c.inForce.ledger, since, now),
		ServedPPM:    c.inForce.ledger.ServedPPM(),
	}
	return message
}

// Outbox returns the messages to send at the time now, by receiving cluster. It returns
// them once after a change of the state in force, and again every ResendSeconds; at other
// times it returns nil.
func (c *Coordinator) Outbox(now float64) map[string][]migration.Message {
	if !c.active() || !c.outboxChanged && now < c.lastSent+c.options.ResendSeconds {
		return nil
	}
	c.outboxChanged = false
	c.lastSent = now
	byCluster := map[string][]migration.Message{}
	for _, m := range c.inForce.state.Outbox() {
		to := otherCluster(m.ID, m.Source)
		byCluster[to] = append(byCluster[to], c.withAdvice(now, m))
	}
	return byCluster
}

// Dropped returns the number of dropped messages, by reason.
func (c *Coordinator) Dropped() map[string]uint64 { return maps.Clone(c.dropped) }
