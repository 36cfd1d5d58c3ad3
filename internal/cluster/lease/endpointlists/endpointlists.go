// Package endpointlists distributes discovery's endpoint list between instances,
// so that an instance whose own watch delivers nothing receives the list from
// another one. Lists are versioned by discovery, so instances need not agree on
// them by consensus. The package does no I/O, reads no clock and starts no
// goroutine.
//
// Every message between instances contains the version of the sender's list. An
// instance with an older list requests the changes since its own version. It
// receives the complete list if the sender never had exactly that version,
// because only an instance that had a version knows which entries changed since
// then, including those that changed and changed back. Therefore an instance's
// list is always the one that discovery had at some version, even if messages are
// lost, duplicated, delayed and reordered.
//
// [PropagationBound] returns the time within which all instances know that a
// worker is draining.
package endpointlists

import (
	"cmp"
	"fmt"
)

// Limits of lists and messages.
const (
	MaxEntries      = 1 << 14 // entries of a list, without tombstones
	MaxTombstones   = 1 << 12 // of deleted entries of a list
	MaxVersions     = 1 << 10 // past versions since which the changes are known
	MaxIDBytes      = 256
	MaxDataBytes    = 2 << 10
	MaxChunkBytes   = 1 << 18
	MaxChunkEntries = 1 << 12
	// entryOverheadBytes is the assumed encoding overhead of an entry in a chunk, in addition to its ID and data.
	entryOverheadBytes = 16
)

// Version identifies a list by discovery's epoch and the sequence number Seq in
// that epoch. The zero value means that there is no list yet.
type Version struct {
	Epoch uint64
	Seq   uint64
}

// Compare returns a negative number if v precedes other, 0 if they are equal
// and a positive number otherwise.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Epoch, other.Epoch), cmp.Compare(v.Seq, other.Seq))
}

// Entry is an endpoint of the list, or the tombstone of a deleted one.
type Entry struct {
	ID      string
	Seq     uint64 // the entry has not changed after this version
	Deleted bool   // the entry is a tombstone; Data is empty
	Data    []byte // opaque to this package
}

func (e Entry) isValid() bool {
	return e.ID != "" && len(e.ID) <= MaxIDBytes && len(e.Data) <= MaxDataBytes && (!e.Deleted || len(e.Data) == 0)
}

// Update is an event from the instance's own watch: a snapshot of the list, or all
// changes since the previous update from that watch.
type Update struct {
	Seq      uint64
	Snapshot bool
	Entries  []Entry // the Seq of entries is ignored
}

// ChunkRequest requests the changes since Version of entries whose ID is greater
// than After.
type ChunkRequest struct {
	Version Version
	After   string
}

// Chunk is a part of the changes, ordered by ID.
type Chunk struct {
	Version Version // of the sender's list
	BaseSeq uint64  // the changes are those since this version; 0 if the chunk is part of the complete list
	After   string  // of the request
	Entries []Entry
	Last    bool // there is no further chunk
}

// InvalidUpdateError reports an update or a chunk that exceeds a limit or that
// discovery or another instance can have sent only because of a defect.
type InvalidUpdateError struct{ Reason string }

func (e *InvalidUpdateError) Error() string {
	return "an update of the endpoint list was rejected (" + e.Reason + "): if it recurs, correct what discovery sends"
}

// SequenceResetError reports that discovery sent a lower version than the known
// one. Lower versions are accepted only after the configuration has set a new
// epoch.
type SequenceResetError struct {
	Known    Version
	Reported uint64
}

func (e *SequenceResetError) Error() string {
	return fmt.Sprintf("discovery sent version %d after version %d: "+
		"if it was reset, propose rules with list_epoch %d; until then the known list is kept",
		e.Reported, e.Known.Seq, e.Known.Epoch+1)
}

// PropagationBound returns the maximum time, in the unit of its arguments, from
// when one instance is notified that a worker is draining until another instance
// no longer sends it requests. It assumes that the instances exchange versions
// every period, a message takes at most delay, none of the three messages
// (version, request, chunk) is lost, one chunk is sufficient, and the event loop
// runs every pollInterval. A lost message adds a period, a further chunk adds two
// delays. An update that is sent to all instances without a request takes at most
// delay + pollInterval.
func PropagationBound(period, delay, pollInterval float64) float64 {
	const messages = 3
	return period + messages*delay + pollInterval
}
