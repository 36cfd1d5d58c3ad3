package endpointlists

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// List is the endpoint list as one instance knows it. It is not safe for
// concurrent use.
type List struct {
	transferTimeoutSeconds float64
	epoch                  uint64 // set by the configuration
	version                Version
	versions               []uint64 // the list's sequence numbers in this epoch, ascending up to the current one
	entries                map[string]Entry
	live                   int       // number of entries that are not tombstones
	watchIsCurrent         bool      // the own watch has sent a snapshot of this epoch, to which its changes apply
	transfer               *transfer // in progress, or nil
}

// New returns an empty list. If a peer makes no progress with a transfer within
// the timeout, the list may be requested from another peer.
func New(transferTimeoutSeconds float64) *List {
	return &List{
		transferTimeoutSeconds: transferTimeoutSeconds,
		entries:                map[string]Entry{},
	}
}

// SetEpoch sets discovery's epoch, which the configuration determines. Lists of
// higher epochs are ignored. If reopenWatch is true, the epoch is a new one and
// the caller has to reopen its watch, whose first snapshot then belongs to the new
// epoch.
func (l *List) SetEpoch(epoch uint64) (reopenWatch bool) {
	if epoch <= l.epoch {
		return false
	}
	l.epoch = epoch
	l.watchIsCurrent = false
	return true
}

// Version returns the version of the list. It has to be sent with every message.
func (l *List) Version() Version {
	return l.version
}

// Entries returns the list ordered by ID, without tombstones.
func (l *List) Entries() (live []Entry) {
	for _, id := range l.sortedIDs() {
		if e := l.entries[id]; !e.Deleted {
			live = append(live, e)
		}
	}
	return live
}

func (l *List) sortedIDs() []string {
	return slices.Sorted(maps.Keys(l.entries))
}

// ApplyUpdate applies an update from the instance's own watch and returns the
// entries that differ from before. A *SequenceResetError means that the
// configuration has to set a new epoch. After an *InvalidUpdateError the caller
// has to reopen its watch, whose first update is a snapshot.
func (l *List) ApplyUpdate(u Update) (changed []Entry, err error) {
	if err := l.checkUpdate(u); err != nil {
		return nil, err
	}
	// Entries that are unchanged here get the new version too: they may have
	// changed and changed back, and other instances may have the state in between.
	entries := slices.Clone(u.Entries)
	for i := range entries {
		entries[i].Seq = u.Seq
	}
	if u.Snapshot {
		return l.applySnapshot(u.Seq, entries)
	}
	return l.applyDelta(u.Seq, entries)
}

func (l *List) checkUpdate(u Update) error {
	ids := map[string]bool{}
	for _, e := range u.Entries {
		if !e.isValid() || ids[e.ID] {
			return &InvalidUpdateError{Reason: fmt.Sprintf("entry %.64q is invalid, too large or listed twice", e.ID)}
		}
		ids[e.ID] = true
	}
	if u.Seq == 0 {
		return &InvalidUpdateError{Reason: "the version is 0"}
	}
	return l.checkSize(u.Entries, u.Snapshot)
}

func (l *List) applySnapshot(seq uint64, entries []Entry) (changed []Entry, err error) {
	if l.epoch > l.version.Epoch || l.version.Seq == 0 {
		l.watchIsCurrent = true
		return l.replace(Version{Epoch: l.epoch, Seq: seq}, entries), nil
	}
	if seq < l.version.Seq {
		l.watchIsCurrent = false
		return nil, &SequenceResetError{Known: l.version, Reported: seq}
	}
	l.watchIsCurrent = true
	if seq == l.version.Seq {
		return nil, nil
	}
	return l.mergeComplete(seq, entries), nil
}

func (l *List) applyDelta(seq uint64, entries []Entry) (changed []Entry, err error) {
	if seq <= l.version.Seq {
		return nil, nil
	}
	if !l.watchIsCurrent {
		return nil, &InvalidUpdateError{
			Reason: "changes to a list that is not known, or to one of a former epoch",
		}
	}
	return l.merge(seq, entries), nil
}

// checkSize returns an *InvalidUpdateError if applying the entries would result in
// more than MaxEntries. If complete, the entries replace the list, otherwise they
// are changes of it.
func (l *List) checkSize(entries []Entry, complete bool) error {
	live := l.live
	if complete {
		live = 0
	}
	for _, e := range entries {
		known, ok := l.entries[e.ID]
		isNew := complete || !ok || known.Deleted
		if !e.Deleted && isNew {
			live++
		}
	}
	if live > MaxEntries {
		return &InvalidUpdateError{Reason: fmt.Sprintf("more than %d entries", MaxEntries)}
	}
	return nil
}

// merge applies all changes up to a later version of this epoch.
func (l *List) merge(seq uint64, entries []Entry) (changed []Entry) {
	for _, e := range entries {
		changed = l.put(changed, e)
	}
	l.advance(seq)
	return changed
}

// mergeComplete applies the complete list of a later version of this epoch.
func (l *List) mergeComplete(seq uint64, entries []Entry) (changed []Entry) {
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.ID] = true
		e.Seq = seq
		changed = l.put(changed, e)
	}
	for _, id := range l.sortedIDs() {
		if !listed[id] && !l.entries[id].Deleted {
			changed = l.put(changed, Entry{ID: id, Seq: seq, Deleted: true})
		}
	}
	l.advance(seq)
	return changed
}

// advance sets the version to a later one of this epoch.
func (l *List) advance(seq uint64) {
	l.version.Seq = seq
	firstKept := max(0, len(l.versions)-MaxVersions+1)
	l.versions = append(l.versions[firstKept:], seq)
	l.pruneTombstones()
}

// put stores an entry and appends it to changed if it differs from the previous one.
func (l *List) put(changed []Entry, e Entry) []Entry {
	old, known := l.entries[e.ID]
	if known && !old.Deleted {
		l.live--
	}
	if !e.Deleted {
		l.live++
	}
	l.entries[e.ID] = e
	if !known && e.Deleted {
		return changed
	}
	if known && old.Deleted == e.Deleted && bytes.Equal(old.Data, e.Data) {
		return changed
	}
	return append(changed, e)
}

// pruneTombstones drops the oldest tombstones if there are more than MaxTombstones;
// at most half of that number remain. It also drops the versions before those
// tombstones, since which the changes are no longer known.
func (l *List) pruneTombstones() {
	if len(l.entries)-l.live <= MaxTombstones {
		return
	}
	var tombstones []Entry
	for _, e := range l.entries {
		if e.Deleted {
			tombstones = append(tombstones, e)
		}
	}
	slices.SortFunc(tombstones, func(a, b Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	lastPruned := tombstones[len(tombstones)-MaxTombstones/2-1].Seq
	for _, e := range tombstones {
		if e.Seq <= lastPruned {
			delete(l.entries, e.ID)
		}
	}
	l.versions = slices.DeleteFunc(l.versions, func(seq uint64) bool { return seq < lastPruned })
}

// replace replaces the list by the first one or by one of another epoch.
func (l *List) replace(v Version, entries []Entry) (changed []Entry) {
	old := l.entries
	l.entries = map[string]Entry{}
	l.live = 0
	l.version = v
	l.versions = []uint64{v.Seq}
	l.transfer = nil
	for _, e := range entries {
		if e.Deleted {
			continue
		}
		e.Seq = v.Seq
		l.entries[e.ID] = e
		l.live++
		before, known := old[e.ID]
		if !known || before.Deleted || !bytes.Equal(before.Data, e.Data) {
			changed = append(changed, e)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(old)) {
		if _, kept := l.entries[id]; !kept && !old[id].Deleted {
			changed = append(changed, Entry{ID: id, Seq: v.Seq, Deleted: true})
		}
	}
	return changed
}
