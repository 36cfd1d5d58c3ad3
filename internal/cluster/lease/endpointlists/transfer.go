package endpointlists

import (
	"fmt"
	"slices"
)

// transfer is the state of receiving the changes of one peer in chunks.
type transfer struct {
	peer         string
	request      ChunkRequest // for the next chunk
	version      Version      // of the chunks received; zero before the first one
	entries      []Entry      // of the chunks received
	lastProgress float64
}

// ChunkResult is the outcome of applying a chunk.
type ChunkResult struct {
	Changed []Entry
	Next    *ChunkRequest // to send to the same peer, or nil
}

// ReceiveVersion handles the version of a peer's list and returns what to
// request of that peer, if anything.
func (l *List) ReceiveVersion(now float64, peer string, v Version) (request ChunkRequest, ok bool) {
	if v.Compare(l.version) <= 0 || v.Epoch > l.epoch {
		return ChunkRequest{}, false
	}
	if l.mustRestart(now, peer) {
		l.startTransfer(now, peer)
	}
	return l.transfer.request, l.transfer.peer == peer
}

// mustRestart reports whether there is no transfer, or one that is obsolete or has timed out.
func (l *List) mustRestart(now float64, peer string) bool {
	t := l.transfer
	if t == nil || t.request.Version != l.version {
		return true
	}
	return t.peer != peer && now-t.lastProgress >= l.transferTimeoutSeconds
}

func (l *List) startTransfer(now float64, peer string) {
	l.transfer = &transfer{
		peer:         peer,
		request:      ChunkRequest{Version: l.version},
		lastProgress: now,
	}
}

// ChunkSince returns the first chunk of the changes that a peer requested, or
// of those that are sent to all.
func (l *List) ChunkSince(r ChunkRequest) Chunk {
	chunk := Chunk{
		Version: l.version,
		BaseSeq: r.Version.Seq,
		After:   r.After,
		Last:    true,
	}
	if _, known := slices.BinarySearch(l.versions, r.Version.Seq); !known || r.Version.Epoch != l.version.Epoch {
		chunk.BaseSeq = 0
	}
	size := 0
	for _, id := range l.sortedIDs() {
		e := l.entries[id]
		if id <= r.After || !chunk.includes(e) {
			continue
		}
		size += len(id) + len(e.Data) + entryOverheadBytes
		if len(chunk.Entries) == MaxChunkEntries || size > MaxChunkBytes && len(chunk.Entries) > 0 {
			chunk.Last = false
			break
		}
		chunk.Entries = append(chunk.Entries, e)
	}
	return chunk
}

// includes reports whether an entry is one of the changes since the chunk's base.
func (c *Chunk) includes(e Entry) bool {
	return e.Seq > c.BaseSeq && (!e.Deleted || c.BaseSeq > 0)
}

// isComplete reports whether the chunk is all that there is to a version.
func (c *Chunk) isComplete() bool {
	return c.After == "" && c.Last
}

func (c *Chunk) validate() error {
	last := c.After
	for _, e := range c.Entries {
		if !e.isValid() || e.ID <= last || !c.includes(e) || e.Seq > c.Version.Seq {
			return &InvalidUpdateError{
				Reason: fmt.Sprintf("entry %.64q is too large, out of order, or of no version that it can be of", e.ID),
			}
		}
		last = e.ID
	}
	if len(c.Entries) > MaxChunkEntries || len(c.Entries) == 0 && !c.Last {
		return &InvalidUpdateError{Reason: "a chunk with too many entries, or none"}
	}
	return nil
}

// ApplyChunk applies a chunk of a peer. One that is complete is valid without a
// request as well. If the epoch of Version changes by it, the caller has to
// reopen its watch, whose changes are of the epoch before.
func (l *List) ApplyChunk(now float64, peer string, c Chunk) (ChunkResult, error) {
	if err := c.validate(); err != nil {
		return ChunkResult{}, err
	}
	if !l.isApplicable(c) {
		return ChunkResult{}, nil
	}
	if c.isComplete() {
		return l.finishTransfer(c, c.Entries)
	}
	t := l.transfer
	if t == nil || t.peer != peer || t.request != (ChunkRequest{Version: l.version, After: c.After}) {
		return ChunkResult{}, nil
	}
	if t.version != c.Version && t.version != (Version{}) {
		// Chunks of two versions make no list.
		l.startTransfer(now, peer)
		return l.requestNext(), nil
	}
	entries := slices.Concat(t.entries, c.Entries)
	if c.Last {
		return l.finishTransfer(c, entries)
	}
	return l.continueTransfer(now, c, entries)
}

// isApplicable reports whether a chunk leads from the list's version to a later one.
func (l *List) isApplicable(c Chunk) bool {
	if c.Version.Epoch > l.epoch || c.Version.Compare(l.version) <= 0 {
		return false
	}
	return c.BaseSeq == 0 || Version{Epoch: c.Version.Epoch, Seq: c.BaseSeq} == l.version
}

func (l *List) continueTransfer(now float64, c Chunk, entries []Entry) (ChunkResult, error) {
	if err := l.checkSize(entries, c.BaseSeq == 0); err != nil {
		l.transfer = nil
		return ChunkResult{}, err
	}
	l.transfer.request.After = c.Entries[len(c.Entries)-1].ID
	l.transfer.version = c.Version
	l.transfer.entries = entries
	l.transfer.lastProgress = now
	return l.requestNext(), nil
}

func (l *List) requestNext() ChunkResult {
	request := l.transfer.request
	return ChunkResult{Next: &request}
}

// finishTransfer applies all entries of a version.
func (l *List) finishTransfer(c Chunk, entries []Entry) (ChunkResult, error) {
	l.transfer = nil
	complete := c.BaseSeq == 0
	if err := l.checkSize(entries, complete); err != nil {
		return ChunkResult{}, err
	}
	switch {
	case c.Version.Epoch != l.version.Epoch || l.version.Seq == 0:
		l.watchIsCurrent = false
		return ChunkResult{Changed: l.replace(c.Version, entries)}, nil
	case complete:
		return ChunkResult{Changed: l.mergeComplete(c.Version.Seq, entries)}, nil
	default:
		return ChunkResult{Changed: l.merge(c.Version.Seq, entries)}, nil
	}
}
