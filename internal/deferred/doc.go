// Package deferred keeps jobs that are not eligible yet: they depend on other jobs, on a start time, or both.
// It decides when such a job may go to the scheduler, and which ones never will.
//
// The package does no I/O, reads no clock and starts no goroutine. Times are in seconds on the caller's
// monotonic clock. A [Store] must be used from one goroutine only. Releasing or canceling a job takes O(log n),
// ending a parent O(its children) and a cascade O(jobs that it ends). No function is recursive, so long chains
// don't use more stack.
package deferred
