package coordinator

import (
	"fmt"

	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/migration"
)

// Adopt sets the table in force. It returns texts for the log: the moves whose stage has
// changed, or why the table's migration state can't be used.
func (c *Coordinator) Adopt(table *config.Table) (changes []string) {
	if c.inForce.table == table {
		return nil
	}
	previous := c.inForce.state
	state, err := State(c.options.Self, table)
	c.inForce.table = table
	c.inForce.state = state
	c.inForce.ledgerError = err
	if err != nil {
		return []string{err.Error()}
	}
	c.inForce.ledger = state.Ledger()
	c.reviewDue = true
	for i := range state.Moves {
		m := &state.Moves[i]
		old := moveIn(previous, m.ID.Key)
		if stageChanged(old, m) {
			changes = append(changes, describe(m))
		}
		c.outboxChanged = c.outboxChanged || old == nil || *old != *m
	}
	c.progress.forgetEnded(state)
	return changes
}

// moveIn returns the latest move of a key, or nil if there is none or state is nil.
func moveIn(state *migration.State, key migration.Key) *migration.Move {
	if state == nil {
		return nil
	}
	return state.Move(key)
}

func stageChanged(old, m *migration.Move) bool {
	return old == nil || old.ID != m.ID || old.Stage() != m.Stage() || old.End != m.End
}

// describe returns a move's progress for the log.
func describe(m *migration.Move) string {
	text := fmt.Sprintf("%s of %.6g slot-starts a second: %s", m.ID, m.Amount.SlotStarts(), m.Stage())
	if err := m.Err(); err != nil {
		return text + ", " + err.Error()
	}
	if m.End != migration.Open {
		text += fmt.Sprintf(", %s, %.6g on this side", m.End, m.Local.SlotStarts())
	}
	return text
}
