package endpointlists

import (
	"fmt"
	"slices"
)

// transfer is the state of receiving changes from one peer in chunks.
type transfer struct {
	peer         string
	request      ChunkRequest // for the next chunk
	version      Version      // of the chunks received; zero before the first chunk
	entries      []Entry      // of the chunks received
	lastProgress float64      // time of the start or of the latest chunk, in seconds
}

// ChunkResult is the outcome of applying a chunk.
type ChunkResult struct {
	Changed []Entry       // entries that differ from before
	Next    *ChunkRequest // to send to the same peer, or nil
}

// ReceiveVersion handles the version of a peer's list. If ok, the returned request
// has to be sent to that peer.
func (l *List) ReceiveVersion(now float64, peer string, v Version) (request ChunkRequest, ok bool) {
	if v.Compare(l.version) <= 0 || v.Epoch > l.epoch {
		return ChunkRequest{}, false
	}
	if l.mustRestart(now, peer) {
		l.startTransfer(now, peer)
	}
	return l.transfer.request, l.transfer.peer == peer
}

// mustRestart reports whether a transfer has to be started: there is none, it is for an obsolete version, or it has
// timed out and peer is another one.
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

// ChunkSince returns the first chunk of the changes since r.Version after r.After,
// either for a peer that requested them or to send to all peers.
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

// includes reports whether an entry is one of the changes since the chunk's base, or of the complete list.
func (c *Chunk) includes(e Entry) bool {
	return e.Seq > c.BaseSeq && (!e.Deleted || c.BaseSeq > 0)
}

// isComplete reports whether the chunk contains all changes, so that no other chunk is needed.
func (c *Chunk) isComplete() bool {
	return c.After == "" && c.Last
}

func (c *Chunk) validate() error {
	last := c.After
	for _, e := range c.Entries {
		if !e.isValid() || e.ID <= last || !c.includes(e) || e.Seq > c.Version.Seq {
			return &InvalidUpdateError{
				Reason: fmt.Sprintf("entry %.64q is invalid, too large, out of order or of a wrong version", e.ID),
			}
		}
		last = e.ID
	}
	if len(c.Entries) > MaxChunkEntries || len(c.Entries) == 0 && !c.Last {
		return &InvalidUpdateError{Reason: "a chunk has too many entries, or none and is not the last"}
	}
	return nil
}

// ApplyChunk applies a chunk from a peer. A chunk that contains all changes is
// applied even if it was not requested; a chunk that does not apply to the list is
// ignored. If the epoch of Version has changed after the call, the caller has to
// reopen its watch, whose changes are of the previous epoch. The error is an
// *InvalidUpdateError.
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
		// Chunks of different versions can't be combined into a list, so the transfer starts again.
		l.startTransfer(now, peer)
		return l.requestNext(), nil
	}
	entries := slices.Concat(t.entries, c.Entries)
	if c.Last {
		return l.finishTransfer(c, entries)
	}
	return l.continueTransfer(now, c, entries)
}

// isApplicable reports whether a chunk contains the complete list of a later version, or the changes from this list's
// version to a later one.
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

// finishTransfer ends the transfer and applies its entries. The chunk c is the last one.
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
