// Package usage counts how much of each tenant's work every instance of a cluster has
// started. The counts are a state-based grow-only counter (G-counter), which needs no leader.
//
// A [State] is immutable. Merging states is commutative, associative and idempotent, so that
// instances converge to the same counts although messages are lost, delayed, repeated or
// reordered. The package does no I/O, reads no clock and starts no goroutine. The methods of
// a [Replica] must be called by one goroutine at a time, except for Snapshot, which any
// goroutine may call. The counters of a [Meter] may be read while another goroutine writes them.
//
// Amounts are in thousandths of a slot, so that sums are exact.
package usage
