// Package lease decides which version of the cluster's configuration an
// instance may act on, and when. It holds the replicated [State] and its legal
// transitions, the [Holder], which is an instance's side of its lease, and the
// [Grantor], which is the leader's side of all leases. docs/design/accord.md
// explains the protocol; model_test.go is a model checker for its invariants.
//
// The package does no I/O, reads no clock and starts no goroutine. Times are
// seconds on the caller's monotonic clock and never decrease. [State], [Holder]
// and [Grantor] are not safe for concurrent use; the values that they return are
// immutable.
package lease
