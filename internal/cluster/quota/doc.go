// Package quota decides, for one instance of a cluster, which fraction of each
// tenant's reservation that instance may use at the moment.
//
// A few instances own a fraction of each reservation and lend parts of it to
// instances that need them (escrow with leases). A lender deducts a loan from its own
// allotment before it sends the grant, and the loan expires on the borrower's clock no
// later than on the lender's. The allotments of all instances therefore never add up to
// more than the reservation, even if messages are lost, delayed, repeated or reordered.
// docs/design/counts.md has the argument and its limits.
//
// The package does no I/O, reads no clock, starts no goroutine and draws no random
// numbers. Times are in seconds on the caller's monotonic clock; no time is ever
// sent to another instance. An [Allocator] must be used by one goroutine at a time.
package quota
