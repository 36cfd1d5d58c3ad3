// Package shard distributes the tenants' queues over instances. Each shard has
// one owner: the instance that decides when the jobs of the shard's tenants are
// released. The instance that accepted a job is the job's origin; only the
// origin starts attempts of the job. The package implements the owner (Owner),
// the origin (JobLog), the transfer of a shard from one owner to another
// (ExportTransfer and ImportTransfer), and the placement of shards on instances
// (Place).
//
// The package does no I/O and reads no clock: times are seconds of the caller's
// monotonic clock, and messages are plain structs. docs/design/shards.md gives
// the reasons for its rules.
//
// No type is safe for concurrent use: callers confine each JobLog, Owner,
// ExportTransfer and ImportTransfer to one goroutine or guard it with a lock.
package shard

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Limits of messages and shards.
const (
	MaxShards         = 1 << 16
	MaxRecords        = 1 << 20              // per shard
	MaxChunkRecords   = 256                  // per Chunk or JobUpdate
	MaxChunkTags      = 256                  // per Chunk
	MaxAttempts       = 64                   // per record
	MaxReportValues   = 16                   // per load report
	MaxUnacknowledged = 16 * MaxChunkRecords // records that an origin has sent and the owner has not acknowledged
)

// ForTenant returns the shard of a tenant, from 0 to count-1, where count is the
// number of shards. The result is the same on every machine. A change of count
// assigns most tenants to another shard.
func ForTenant(tenant string, count int) int {
	if count <= 1 {
		return 0
	}
	shard, _ := bits.Mul64(xxhash.Sum64String(tenant), uint64(count))
	return int(shard)
}

// Ownership names the instance that owns a shard. Epoch grows by one with each
// change of the owner; epoch 0 with an empty name means that the shard was never
// owned. The fields equal those of config.ShardOwner, so that the two types
// convert to each other.
type Ownership struct {
	Name  string
	Epoch uint64
}

// Map holds the owner of each shard, indexed by shard number.
type Map []Ownership

// OwnerChange proposes that the instance To owns the shard in the epoch after
// Epoch. It takes effect only while the shard is at Epoch, hence at most once.
// It is sent as JSON.
type OwnerChange struct {
	Shard int    `json:"Shard"`
	Epoch uint64 `json:"Epoch"`
	To    string `json:"To"`
}

// Apply applies a change and reports whether it took effect. A late or
// duplicate change, or one for a shard outside the map, has no effect.
func (m Map) Apply(change OwnerChange) bool {
	if change.Shard < 0 || change.Shard >= len(m) || m[change.Shard].Epoch != change.Epoch {
		return false
	}
	m[change.Shard] = Ownership{
		Name:  change.To,
		Epoch: change.Epoch + 1,
	}
	return true
}
