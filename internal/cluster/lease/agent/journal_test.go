package agent

import (
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/lease"
)

// Guards against a journal entry that combines an applied table with the lease of a newer one. This could happen if the
// newer table was published right before the event loop reported the older one as applied. The entry must also have the
// start rates that the applied table allows each placed service, by its capacity ledger and reservations.
func TestJournalOfReplacedTable(t *testing.T) {
	path := filepath.Join(t.TempDir(), "j")
	j, err := openJournal(path, "n", 1, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	defer j.close()
	at := time.Now()
	reservation := 30.0
	old := &config.Table{
		Version: 1,
		Tenants: []config.Tenant{
			{Name: "a", Reservation: &reservation},
			{Name: "b", Reservation: &reservation},
			{Name: "c", Reservation: &reservation},
		},
		Placements:    []config.Placement{{Service: "a"}, {Service: "b"}},
		LedgerEntries: []config.LedgerEntry{{Service: "a", Usable: 12.5}, {Service: "b", Usable: 40}},
	}
	var effective atomic.Pointer[effectiveState]
	effective.Store(&effectiveState{
		leasedTable:    &config.Table{Version: 2},
		expiresAt:      at.Add(time.Hour),
		inForceVersion: 2,
		revision:       lease.Revision{Version: 2, Stage: lease.StageInForce},
		previous: &effectiveState{
			leasedTable:    old,
			expiresAt:      at.Add(time.Minute),
			inForceVersion: 1,
			revision:       lease.Revision{Version: 1, Stage: lease.StageInForce},
		},
	})
	j.recordApplied(at, &effective, old)
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`"version":1,"stage":"in force","leased":true`, `"uses":{"a":12.5,"b":30}`} {
		if !strings.Contains(string(raw), want) {
			t.Errorf("got journal %s, want it to contain %s", raw, want)
		}
	}
}
