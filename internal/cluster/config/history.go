package config

import (
	"fmt"
	"strings"
)

// VersionChange is a version with the keys that it changed.
type VersionChange struct {
	Version    uint64
	ProposedBy string
	Keys       []string
}

// OutdatedError is returned for a proposal on a version that is not the newest.
type OutdatedError struct {
	Base, Newest uint64
	UnknownUpTo  uint64          // the last version whose changes are no longer known; 0 if all are known
	Changes      []VersionChange // since Base, as far as they are known
}

func (e *OutdatedError) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "the rules are based on version %d, the newest is %d", e.Base, e.Newest)
	if e.Base > e.Newest {
		text.WriteString(", as far as this instance knows: " +
			"wait until it has received a later one, or correct rules.based_on")
		return text.String()
	}
	if e.UnknownUpTo > 0 {
		fmt.Fprintf(&text, "; who changed what up to version %d is no longer known", e.UnknownUpTo)
	}
	for _, change := range e.Changes {
		fmt.Fprintf(&text, "; version %d by %q changed %s", change.Version, change.ProposedBy, abbreviate(change.Keys))
	}
	fmt.Fprintf(&text, ": include the changes in the file, set rules.based_on = %d and send SIGHUP", e.Newest)
	return text.String()
}

// CheckBase returns an error if a proposal on version base is outdated, or nil. The
// history is in ascending order without gaps and ends with the newest version. It
// must not be empty. The error lists the changes since base that the history covers.
// Versions that only changed shard owners or the capacity ledger, which an
// operator's file does not contain, do not outdate a proposal.
func CheckBase(base uint64, history []*Table) *OutdatedError {
	newest := history[len(history)-1]
	if base == newest.Version {
		return nil
	}
	outdated := &OutdatedError{Base: base, Newest: newest.Version}
	if history[0].Version > base {
		outdated.UnknownUpTo = history[0].Version
	}
	for i, t := range history[1:] {
		if t.Version <= base {
			continue
		}
		if keys := fileKeys(Conflicts(history[i], t)); keys != nil {
			change := VersionChange{Version: t.Version, ProposedBy: t.ProposedBy, Keys: keys}
			outdated.Changes = append(outdated.Changes, change)
		}
	}
	if base < newest.Version && outdated.UnknownUpTo == 0 && outdated.Changes == nil {
		return nil
	}
	return outdated
}

// fileKeys returns the keys that an operator's file can contain.
func fileKeys(conflicts []Conflict) []string {
	var keys []string
	for _, conflict := range conflicts {
		if !strings.HasPrefix(conflict.Key, "seat") && !strings.HasPrefix(conflict.Key, "book") {
			keys = append(keys, conflict.Key)
		}
	}
	return keys
}
