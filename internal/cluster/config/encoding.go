package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"iter"
	"math"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

// The encoding is JSON. Struct fields have a fixed order, lists are sorted and
// there is no map, so a table has exactly one encoding, and the admin listener
// serves the same bytes. Protobuf's deterministic encoding is only the same within
// one build, which is not enough for a digest that instances compare.
//
// Keys that this build does not know are rejected, neither skipped nor kept,
// because an instance that skips an entry would violate it while others apply it.
// An instance that has no table serves as one without a lease, until it is upgraded.

// MalformedError is returned for bytes that are not the encoding of a table.
type MalformedError struct{ Err error }

func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed rules, which are ignored as a whole: %v; "+
		"compare the output of bellstream version on all instances", e.Err)
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Err }

// UnsupportedFormatError is returned for a table with keys that this build does
// not know.
type UnsupportedFormatError struct {
	Version uint64 // of the table; 0 if it can't be read
	Err     error
}

func (e *UnsupportedFormatError) Error() string {
	return fmt.Sprintf("version %d of the rules was written by a newer build (%v): upgrade this instance "+
		"(docs/operators/upgrade.md); until then it serves as without a lease", e.Version, e.Err)
}

// Unwrap returns the cause.
func (e *UnsupportedFormatError) Unwrap() error { return e.Err }

// Encode returns the canonical encoding of a table, of at most MaxTableBytes. It
// returns an error for names that are empty, duplicate, too long or not plain text,
// for numbers that are not finite or are -0, for lists or a capacity ledger that
// exceed their limits, and for an encoding that is too large.
func Encode(t *Table) ([]byte, error) {
	t = t.Sorted()
	if err := t.checkEncodable(); err != nil {
		return nil, err
	}
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(t); err != nil {
		return nil, err
	}
	encoded := bytes.TrimSuffix(buffer.Bytes(), []byte("\n"))
	if len(encoded) > MaxTableBytes {
		return nil, fmt.Errorf("the rules have %d bytes, at most %d: name fewer tenants, or use shorter names",
			len(encoded), MaxTableBytes)
	}
	return encoded, nil
}

// Decode returns the table of an encoding. It accepts only what Encode returns:
// for another encoding of the same table the error is a *MalformedError, and for an
// unknown key a *UnsupportedFormatError.
func Decode(encoded []byte) (*Table, error) {
	if len(encoded) > MaxTableBytes {
		return nil, &MalformedError{fmt.Errorf("%d bytes, at most %d", len(encoded), MaxTableBytes)}
	}
	t := &Table{}
	decoder := json.NewDecoder(bytes.NewReader(encoded))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(t); err != nil {
		return nil, decodeError(encoded, err)
	}
	canonical, err := Encode(t)
	if err != nil {
		return nil, &MalformedError{err}
	}
	if !bytes.Equal(encoded, canonical) {
		return nil, &MalformedError{errors.New("not the canonical encoding of the table")}
	}
	return t, nil
}

// decodeError returns an *UnsupportedFormatError for the table of a newer build,
// which is valid JSON with an unknown key, and a *MalformedError otherwise. It
// compares the text, as encoding/json's error for an unknown key has no type.
func decodeError(encoded []byte, err error) error {
	if !strings.Contains(err.Error(), "unknown field") || !json.Valid(encoded) {
		return &MalformedError{err}
	}
	var known struct{ Version uint64 }
	_ = json.Unmarshal(encoded, &known) // the version stays 0 if it can't be read
	return &UnsupportedFormatError{known.Version, err}
}

// Digest returns a digest by which instances compare encoded tables. It detects
// accidental differences, but is not secure against forgery.
func Digest(encoded []byte) uint64 { return xxhash.Sum64(encoded) }

// checkName returns an error if a name is empty, longer than MaxNameBytes or not
// plain text.
func checkName(s string) error {
	switch {
	case s == "":
		return errors.New("a name is empty")
	case len(s) > MaxNameBytes:
		return fmt.Errorf("the name that begins with %.16q has %d bytes, at most %d", s, len(s), MaxNameBytes)
	case !utf8.ValidString(s) || strings.ContainsFunc(s, unicode.IsControl) || strings.ContainsRune(s, utf8.RuneError):
		return fmt.Errorf("the name %.40q is not plain text", s)
	}
	return nil
}

// nameList is a sorted list of names with its maximum length.
type nameList struct {
	what   string // the entries, in errors
	length int
	limit  int
	name   func(int) string
}

func stringList(what string, limit int, list []string) nameList {
	return nameList{what, len(list), limit, func(i int) string { return list[i] }}
}

func keyList[T keyed](what string, limit int, list []T) nameList {
	return nameList{what, len(list), limit, func(i int) string { return list[i].key() }}
}

func (l nameList) check() error {
	if l.length > l.limit {
		return fmt.Errorf("%d %s, at most %d", l.length, l.what, l.limit)
	}
	for i := range l.length {
		name := l.name(i)
		if err := checkName(name); err != nil {
			return fmt.Errorf("%s: %w", l.what, err)
		}
		if i > 0 && l.name(i-1) == name {
			return fmt.Errorf("%s: %q is named twice", l.what, name)
		}
	}
	return nil
}

// checkEncodable returns why a sorted table has no encoding, or nil. It does not
// check for numbers that are not finite, which encoding/json rejects. It checks the
// names, because encoding/json replaces text that is not UTF-8.
func (t *Table) checkEncodable() error {
	return errors.Join(t.checkLists(), t.checkNames(), t.checkSizes(), t.checkNoNegativeZero())
}

func (t *Table) checkLists() error {
	var errs error
	for _, list := range []nameList{
		keyList("tenants", MaxTenants, t.Tenants),
		keyList("classes", MaxClasses, t.Classes),
		stringList("cordoned workers", MaxCordonedWorkers, t.CordonedWorkers),
		stringList("instances", MaxShardInstances, t.ShardInstances),
		keyList("voters", MaxVoters, t.Voters),
		keyList("clusters", MaxClusters, t.Clusters),
		keyList("placements", MaxPlacements, t.Placements),
		keyList("services in the capacity ledger", MaxPlacements, t.LedgerEntries),
	} {
		if err := list.check(); err != nil {
			errs = errors.Join(errs, err)
		}
	}
	return errs
}

func (t *Table) checkNames() error {
	var errs error
	for name := range t.optionalNames() {
		if name == "" {
			continue
		}
		if err := checkName(name); err != nil {
			errs = errors.Join(errs, err)
		}
	}
	return errs
}

// optionalNames yields the names that are not keys of lists. They may be empty.
func (t *Table) optionalNames() iter.Seq[string] {
	return func(yield func(string) bool) {
		if !yield(t.ProposedBy) {
			return
		}
		for _, class := range t.Classes {
			if !yield(string(class.Idempotence)) || !yield(string(class.DedupScope)) {
				return
			}
		}
		for _, voter := range t.Voters {
			if !yield(voter.Address) {
				return
			}
		}
		for _, placement := range t.Placements {
			if !yield(placement.Cluster) || !yield(placement.Origin) {
				return
			}
		}
		for _, owner := range t.ShardOwners {
			if !yield(owner.Name) {
				return
			}
		}
	}
}

func (t *Table) checkSizes() error {
	var errs error
	if size := len(t.CapacityLedger); size > MaxCapacityLedgerBytes {
		errs = errors.Join(errs, fmt.Errorf("the capacity ledger has %d bytes, at most %d: let fewer services migrate",
			size, MaxCapacityLedgerBytes))
	}
	if shards := len(t.ShardOwners); shards > MaxShards {
		errs = errors.Join(errs, fmt.Errorf("%d shards, at most %d", shards, MaxShards))
	}
	return errs
}

// checkNoNegativeZero rejects -0, which would be a second encoding of 0.
func (t *Table) checkNoNegativeZero() error {
	var errs error
	for quantity := range t.quantities() {
		if quantity == 0 && math.Signbit(quantity) {
			errs = errors.Join(errs, errors.New("a number is -0: use 0"))
		}
	}
	return errs
}

// quantities yields all numbers that are set. Integers are not among them.
func (t *Table) quantities() iter.Seq[float64] {
	return func(yield func(float64) bool) {
		for _, tenant := range t.Tenants {
			if !yieldOptional(yield, tenant.Reservation, tenant.Weight) {
				return
			}
		}
		for _, class := range t.Classes {
			if !yieldOptional(yield, class.LatencyObjective, class.ObjectiveStretch, class.Deadline,
				class.PriorityWeight, class.LateWeightFraction, &class.DedupWindow) {
				return
			}
		}
		for _, cluster := range t.Clusters {
			if !yield(cluster.Capacity) {
				return
			}
		}
		for _, entry := range t.LedgerEntries {
			if !yield(entry.Usable) || !yield(entry.Issued) {
				return
			}
		}
	}
}

func yieldOptional(yield func(float64) bool, quantities ...*float64) bool {
	for _, quantity := range quantities {
		if quantity != nil && !yield(*quantity) {
			return false
		}
	}
	return true
}
