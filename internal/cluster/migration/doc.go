// Package migration accounts for the capacity that a cluster has promised to
// services and migrates services between clusters. A reservation is never counted
// twice and never lost. The package does no I/O, reads no clock and starts no
// goroutine.
//
// A cluster's [State] is a replicated state machine that changes only when
// [State.Apply] applies an agreed [Record]. The messages to other clusters are
// computed from the state ([State.Outbox]), so a lost message is sent again. The
// caller may send a message only after the records that led to it are in force on
// every instance of the cluster. docs/design/clusters.md gives the reasons for the rules.
package migration
