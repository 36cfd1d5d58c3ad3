package agent

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/lease"
	"example.org/bellstream/internal/settings"
)

// journal records which configuration is in effect and since when, one line per
// change, for checkers outside the process. A nil journal records nothing.
type journal struct {
	mu             sync.Mutex
	file           *os.File
	name           string
	incarnation    uint64
	startTime      time.Time
	startMonotonic int64 // CLOCK_MONOTONIC at startTime
	appliedTable   *config.Table
	tableDigest    string // of appliedTable
}

// journalEntry is a line of the journal. Times are CLOCK_MONOTONIC in
// nanoseconds. In the stage "narrow" the intersection of Version and the version
// after it is in effect.
type journalEntry struct {
	At          int64  `json:"at"`
	Name        string `json:"name"`
	Incarnation uint64 `json:"life"`
	Version     uint64 `json:"version"` // in force
	Stage       string `json:"stage"`
	Leased      bool   `json:"leased"`
	ExpiresAt   int64  `json:"until"`
	TableDigest string `json:"table"`
	Shards      []int  `json:"seats,omitempty"` // owned by the instance
	// StartRates has the job starts per second that the capacity ledger and the reservations allow each placed
	// service.
	StartRates map[string]float64 `json:"uses,omitempty"`
}

func openJournal(path, name string, incarnation uint64, startTime time.Time) (*journal, error) {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, fmt.Errorf("accord: journal: %w", err)
	}
	return &journal{
		file:           file,
		name:           name,
		incarnation:    incarnation,
		startTime:      startTime,
		startMonotonic: monotonicNanos() - int64(time.Since(startTime)),
	}, nil
}

func monotonicNanos() int64 {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) // fails only for unknown clocks
	return t.Nano()
}

// recordApplied records that the event loop has applied a table.
func (j *journal) recordApplied(at time.Time, effective *atomic.Pointer[effectiveState], applied *config.Table) {
	if j == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	state := effective.Load().publishedWith(applied)
	j.appliedTable = applied
	j.tableDigest = ""
	if encoded, err := config.Encode(applied); err == nil {
		j.tableDigest = fmt.Sprintf("%016x", config.Digest(encoded))
	}
	j.append(at, state)
}

// recordRenewal records that the lease of the applied table was renewed.
func (j *journal) recordRenewal(at time.Time, effective *atomic.Pointer[effectiveState]) {
	if j == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	state := effective.Load()
	if j.appliedTable == state.leasedTable {
		j.append(at, state)
	}
}

// append writes a line. If the write fails, the line is missing from the journal and the agent continues.
func (j *journal) append(at time.Time, state *effectiveState) {
	encoded, err := json.Marshal(j.entry(at, state))
	if err == nil {
		_, _ = j.file.Write(append(encoded, '\n'))
	}
}

func (j *journal) entry(at time.Time, state *effectiveState) journalEntry {
	entry := journalEntry{
		At:          j.monotonic(at),
		Name:        j.name,
		Incarnation: j.incarnation,
		Stage:       lease.Stage(0).String(),
		TableDigest: j.tableDigest,
	}
	if j.appliedTable != state.leasedTable || !at.Before(state.expiresAt) {
		return entry
	}
	entry.Version = state.inForceVersion
	entry.Stage = state.revision.Stage.String()
	entry.Leased = true
	entry.ExpiresAt = j.monotonic(state.expiresAt)
	for shard, owner := range j.appliedTable.ShardOwners {
		if owner.Name == j.name {
			entry.Shards = append(entry.Shards, shard)
		}
	}
	entry.StartRates = serviceStartRates(j.appliedTable)
	return entry
}

func (j *journal) monotonic(t time.Time) int64 {
	return j.startMonotonic + int64(t.Sub(j.startTime))
}

// serviceStartRates returns the rate that the dispatcher derives from the
// capacity ledger for each placed service, bounded by its reservation.
func serviceStartRates(t *config.Table) map[string]float64 {
	if len(t.LedgerEntries) == 0 {
		return nil
	}
	rates := map[string]float64{}
	for _, tenant := range t.Override(&settings.Settings{}, t.UsableReservations()).Tenants {
		if _, placed := t.Placement(tenant.Name); placed {
			rates[tenant.Name] = tenant.Quota
		}
	}
	return rates
}

// close closes the file, to which all lines have been written already.
func (j *journal) close() {
	if j != nil {
		_ = j.file.Close()
	}
}
