package lease

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"example.org/bellstream/internal/cluster/config"
)

// Version is one version of the configuration. Its table is replicated as bytes.
// The replicated state must not depend on how a build interprets these bytes,
// because builds that interpret them differently would diverge.
type Version struct {
	Number   uint64
	Proposer string // name of the proposing instance
	Table    []byte // encoded by config.Encode
}

// decodeTable decodes the version's table. Version 0 has an empty table.
func (v Version) decodeTable() (*config.Table, error) {
	if v.Number == 0 {
		return &config.Table{}, nil
	}
	return config.Decode(v.Table)
}

// equal reports whether two versions have the same number and table.
func (v Version) equal(other Version) bool {
	return v.Number == other.Number && bytes.Equal(v.Table, other.Table)
}

// View is the part of the state that is sent to instances. It is immutable.
type View struct {
	Cluster  string // identity of the cluster; empty before the first entry
	Revision Revision
	InForce  Version // zero before the first version is in force
	Next     Version // the version being rolled out; zero if there is none
}

// NewestNumber returns the number of the newest version.
func (v *View) NewestNumber() uint64 {
	return max(v.InForce.Number, v.Next.Number)
}

func (v *View) newestVersion() Version {
	if v.Next.Number != 0 {
		return v.Next
	}
	return v.InForce
}

// Digest returns a hash of the view by which instances compare views. Instances
// of different builds compute the same digest.
func (v *View) Digest() uint64 {
	d := xxhash.New()
	fmt.Fprintf(d, "%q %d %d %d %q %d %q ", v.Cluster, v.Revision.Version, v.Revision.Stage,
		v.InForce.Number, v.InForce.Proposer, v.Next.Number, v.Next.Proposer)
	d.Write(v.InForce.Table)
	d.WriteString("|")
	d.Write(v.Next.Table)
	return d.Sum64()
}

// Change describes how a version differs from its base.
type Change struct {
	Version     uint64
	Base        uint64
	Proposer    string
	Keys        []string // the first MaxChangeKeys keys that differ from Base
	OmittedKeys int      // number of further keys that differ
}

// String formats the change for operators.
func (c Change) String() string {
	keys := strings.Join(c.Keys, ", ")
	if c.OmittedKeys > 0 {
		keys += fmt.Sprintf(" and %d more", c.OmittedKeys)
	}
	return fmt.Sprintf("%d by %s changed %s", c.Version, c.Proposer, keys)
}

// Proposal returns the entry that proposes table as the next version. It sets the
// version, base and proposer in the encoded table; table itself is unchanged.
//
// If base is not the newest version, the error is a *StaleProposalError. Its Changes
// are empty, because a view has no history. If another version is being rolled out
// and the proposal does not withdraw it, the error is a *ProposalInProgressError.
// Proposal also returns errors of config.Decode, Validate and Encode, and of
// Entry.validate.
//
// These checks reject most invalid proposals without involving the voters.
// State.Apply checks the base, the version in progress and the entry's fields again,
// and its result is final.
func (v *View) Proposal(table *config.Table, proposer string, base uint64) (Entry, error) {
	if base != v.NewestNumber() {
		return Entry{}, &StaleProposalError{Base: base, Newest: v.NewestNumber()}
	}
	newest, err := v.newestVersion().decodeTable()
	if err != nil {
		return Entry{}, err
	}
	next := *table
	next.Version = base + 1
	next.BaseVersion = base
	next.ProposedBy = proposer
	if err := config.Validate(newest, &next); err != nil {
		return Entry{}, err
	}
	encoded, err := config.Encode(&next)
	if err != nil {
		return Entry{}, err
	}
	e := Entry{
		Kind:     EntryPropose,
		Base:     base,
		Proposer: proposer,
		Table:    encoded,
	}
	e.setConflicts(config.Conflicts(newest, &next))
	if v.Next.Number != 0 {
		e.Withdraws, err = v.withdrawsNext(&next)
		if err != nil {
			return Entry{}, err
		}
		if !e.Withdraws {
			return Entry{}, &ProposalInProgressError{Revision: v.Revision, Proposer: v.Next.Proposer}
		}
	}
	return e, e.validate()
}

// withdrawsNext reports whether table is equivalent to the version in force, so that proposing it cancels the next
// version.
func (v *View) withdrawsNext(table *config.Table) (bool, error) {
	inForce, err := v.InForce.decodeTable()
	if err != nil {
		return false, err
	}
	return len(config.Conflicts(inForce, table)) == 0, nil
}
