package endpoints

import (
	"sync/atomic"

	"example.org/bellstream/balance"
)

// removedRetentionSeconds is how long a worker can still be dialled after the list no longer names it. The
// decision module may keep using a worker that was left out by mistake.
const removedRetentionSeconds = 900.0

// Handle identifies a worker as it was listed when the handle was made. It becomes permanently invalid with
// the first list in which the worker drains, is removed, has restarted or has another address.
type Handle struct {
	Address string
	invalid atomic.Bool
}

// Invalid reports whether decisions that were made for the worker as it was listed may no longer apply. It
// may be called from any goroutine.
func (h *Handle) Invalid() bool { return h.invalid.Load() }

// record is the table's entry for a worker.
type record struct {
	address   string
	handle    *Handle // the valid handle; nil if none was made since the last one became invalid
	removed   bool
	removedAt float64

	// The worker as last listed, the list's version, and the time in seconds at which it was applied.
	state     balance.WorkerState
	started   float64
	seq       int64
	updatedAt float64
}

// invalidate makes the current handle invalid, if there is one.
func (r *record) invalidate() {
	if r.handle != nil {
		r.handle.invalid.Store(true)
		r.handle = nil
	}
}

// isStale reports whether an entry of an older list would reopen a worker that a newer list has closed.
// Another discovery, or a restarted one, may send such a list. It can't be distinguished from a new list after
// the version numbers were reset, so an entry is stale only for removedRetentionSeconds.
func (r *record) isStale(e *Endpoint, seq int64, now float64) bool {
	reopensDraining := r.state == balance.Draining && e.State == balance.Running
	reopensRemoved := r.state == balance.Removed && e.State != balance.Removed
	if !reopensDraining && !reopensRemoved {
		return false
	}
	return seq < r.seq && e.StartedAt <= r.started && now < r.updatedAt+removedRetentionSeconds
}

// setRemoved records whether the worker is removed from the list, and the time of a change.
func (r *record) setRemoved(removed bool, now float64) {
	if removed != r.removed {
		r.removed = removed
		r.removedAt = now
	}
}

// Table maps workers to their addresses. It must be used by one goroutine at a time. Seq is the version of
// the last update.
type Table struct {
	Seq     int64
	records map[string]*record
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[string]*record{}} }

// Len returns the number of listed workers.
func (t *Table) Len() (n int) {
	for _, r := range t.records {
		if !r.removed {
			n++
		}
	}
	return n
}

// Hosts returns the IDs of the workers that can be dialled, including recently removed ones.
func (t *Table) Hosts() map[string]bool {
	hosts := make(map[string]bool, len(t.records))
	for host := range t.records {
		hosts[host] = true
	}
	return hosts
}

// Address returns the address of a worker, or false if the table has no record of it.
func (t *Table) Address(host string) (string, bool) {
	if r := t.records[host]; r != nil {
		return r.address, true
	}
	return "", false
}

// Handle returns the handle of a worker as it is listed now, or nil if the table has no record of it.
func (t *Table) Handle(host string) *Handle {
	r := t.records[host]
	if r == nil {
		return nil
	}
	if r.handle == nil {
		r.handle = &Handle{Address: r.address}
	}
	return r.handle
}

// Apply applies an update at the time now, in seconds, and returns the addresses whose idle connections are
// to be closed. Stale entries are corrected, also in u: they keep the worker's state of the newer list.
func (t *Table) Apply(u *Update, now float64) (closed []string) {
	t.Seq = u.Seq
	named := map[string]bool{}
	for i := range u.Endpoints {
		endpoint := &u.Endpoints[i]
		named[endpoint.ID] = true
		if address := t.applyEndpoint(endpoint, u.Seq, now); address != "" {
			closed = append(closed, address)
		}
	}
	for host, r := range t.records {
		if u.Complete && !named[host] && !r.removed {
			r.setRemoved(true, now)
			r.state = balance.Removed
			r.seq = u.Seq
			r.updatedAt = now
			closed = append(closed, r.address)
			r.invalidate()
		}
		if r.removed && now > r.removedAt+removedRetentionSeconds {
			delete(t.records, host)
		}
	}
	return closed
}

// applyEndpoint applies one entry. It returns the address whose idle connections are to be closed, if any.
func (t *Table) applyEndpoint(e *Endpoint, seq int64, now float64) (closed string) {
	r := t.records[e.ID]
	if r != nil && r.isStale(e, seq, now) {
		e.State = r.state
		e.StartedAt = r.started
		return ""
	}
	if r == nil {
		if e.State == balance.Removed {
			return ""
		}
		r = &record{}
		t.records[e.ID] = r
	}
	if r.address != "" && (e.State != balance.Running || e.Address != r.address) {
		closed = r.address
		r.invalidate()
	}
	if e.StartedAt > r.started { // the worker has restarted
		r.invalidate()
	}
	if e.Address != "" {
		r.address = e.Address
	}
	r.setRemoved(e.State == balance.Removed, now)
	r.state = e.State
	r.started = max(r.started, e.StartedAt)
	r.seq = seq
	r.updatedAt = now
	return closed
}
