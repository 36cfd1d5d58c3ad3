package agent

import (
	"testing"
	"time"

	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/lease"
)

// Acknowledge does not block the event loop while the agent's goroutine waits for its disk. A delayed
// acknowledgement to the holder has the revision of the table that was applied last.
func TestAcknowledgeDoesNotBlock(t *testing.T) {
	a := newAgent(Options{Name: "n", Incarnation: 1, LeaseSettings: testSettings, Now: time.Now})
	old := &config.Table{Version: 1}
	table := &config.Table{Version: 2}
	revision := lease.Revision{Version: 2, Stage: lease.StageInForce}
	a.holder.Restore("c", revision)
	a.effective.Store(&effectiveState{
		leasedTable: table,
		revision:    revision,
		previous:    &effectiveState{leasedTable: old},
	})
	for range 3 * inboxCapacity {
		a.Acknowledge(old)
	}
	a.Acknowledge(table)
	<-a.wakeup
	a.acknowledgeApplied()
	if a.appliedTable.Load() != table {
		t.Error("the applied table is an earlier one, want the one acknowledged last")
	}
}
