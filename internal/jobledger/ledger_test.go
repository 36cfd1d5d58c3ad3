package jobledger

import (
	"errors"
	"reflect"
	"testing"

	"example.org/bellstream/balance"
)

func accepted(id string, r balance.Idempotence) Record {
	return Record{Kind: JobAccepted, ID: id, Idempotence: r}
}

// apply applies records to a new ledger. The last one must be legal or illegal as given, all others must be legal.
func apply(t *testing.T, legal bool, records ...Record) *Ledger {
	t.Helper()
	l := New()
	for n, r := range records {
		err := l.Apply(r)
		if last := n == len(records)-1; (err == nil) != (legal || !last) || err != nil && !errors.Is(err, ErrIllegal) {
			t.Fatalf("applying %+v after %+v: got error %v", r, records[:n], err)
		}
	}
	return l
}

func TestLegalTransitions(t *testing.T) {
	grant := func(term uint64) Record {
		return Record{Kind: LeaseGranted, ID: "a", Term: term, Worker: "w", Epoch: "e"}
	}
	resolve := func(term uint64, f LeaseOutcome) Record {
		return Record{Kind: LeaseResolved, ID: "a", Term: term, LeaseOutcome: f}
	}
	complete := func(o Outcome) Record { return Record{Kind: JobCompleted, ID: "a", Outcome: o} }
	ack := Record{Kind: JobAcknowledged, ID: "a"}
	nonIdempotent, idempotent := accepted("a", balance.NonIdempotent), accepted("a", balance.Idempotent)
	for _, c := range []struct {
		legal bool
		steps []Record
	}{
		{true, []Record{nonIdempotent, grant(1), complete(Succeeded), ack}},
		{true, []Record{nonIdempotent, grant(1), resolve(1, NeverRan), grant(2), resolve(2, NeverRan), complete(Rejected)}},
		{true, []Record{nonIdempotent, complete(Rejected)}},
		{true, []Record{nonIdempotent, grant(1), resolve(1, Indeterminate), complete(Failed)}},
		{true, []Record{idempotent, grant(1), resolve(1, Indeterminate), grant(3)}},
		{false, []Record{nonIdempotent, nonIdempotent}},
		{false, []Record{{Kind: JobAccepted, Idempotence: balance.Idempotent}}},
		{false, []Record{accepted("a", "sometimes")}},
		{false, []Record{grant(1)}},
		{false, []Record{nonIdempotent, grant(0)}},
		{false, []Record{nonIdempotent, grant(1), grant(2)}},
		{false, []Record{nonIdempotent, grant(2), resolve(2, NeverRan), grant(2)}},
		{false, []Record{nonIdempotent, grant(1), resolve(1, Indeterminate), grant(2)}},
		{false, []Record{nonIdempotent, grant(1), resolve(2, NeverRan)}},
		{false, []Record{nonIdempotent, grant(1), resolve(1, Open)}},
		{false, []Record{nonIdempotent, grant(1), resolve(1, NeverRan), resolve(1, Indeterminate)}},
		{false, []Record{nonIdempotent, grant(1), complete(Rejected)}},
		{false, []Record{idempotent, grant(1), resolve(1, Indeterminate), complete(Rejected)}},
		{false, []Record{nonIdempotent, grant(1), complete("perhaps")}},
		{false, []Record{nonIdempotent, complete(Failed), complete(Succeeded)}},
		{false, []Record{nonIdempotent, complete(Failed), grant(1)}},
		{false, []Record{nonIdempotent, ack}},
		{false, []Record{nonIdempotent, complete(Failed), ack, ack}},
		{false, []Record{nonIdempotent, {Kind: "other", ID: "a"}}},
	} {
		apply(t, c.legal, c.steps...)
	}
	l := apply(t, true, nonIdempotent, complete(Failed), ack)
	if !l.Forget("a") || l.Forget("a") || len(l.IDs()) != 0 {
		t.Error("an acknowledged job was not forgotten exactly once")
	}
	if l := apply(t, true, nonIdempotent); l.Forget("a") {
		t.Error("a job without acknowledgement was forgotten")
	}
}

// FuzzApply applies random records and checks that illegal ones change nothing and that
// every state that is reached keeps the invariants.
func FuzzApply(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4})
	f.Add([]byte{0, 9, 18, 27, 1, 10, 19, 4, 3, 12})
	f.Fuzz(func(t *testing.T, data []byte) {
		l := New()
		for _, b := range data[:min(len(data), 100)] {
			arg := int(b) / 8
			r := Record{Kind: []RecordKind{JobAccepted, LeaseGranted, LeaseResolved, JobCompleted, JobAcknowledged, LeaseGranted, LeaseResolved, "x"}[b%8], ID: []string{"a", "b"}[arg%2],
				Idempotence: []balance.Idempotence{balance.Idempotent, balance.NonIdempotent}[arg/2%2], Term: uint64(arg % 5), Worker: "w",
				LeaseOutcome: []LeaseOutcome{NeverRan, Indeterminate, Open}[arg%3], Outcome: []Outcome{Succeeded, Failed, Rejected}[arg%3]}
			var before Job
			if j := l.Job(r.ID); j != nil {
				before = *j
			}
			if err := l.Apply(r); err != nil {
				if j := l.Job(r.ID); j != nil && !reflect.DeepEqual(*j, before) {
					t.Fatalf("illegal record %+v changed the job from %+v to %+v", r, before, *j)
				}
			}
			for _, id := range l.IDs() {
				open, last := 0, uint64(0)
				j := l.Job(id)
				for _, x := range j.Leases {
					if x.Outcome == Open {
						open++
					}
					if x.Term <= last {
						t.Fatalf("terms do not increase: %+v", j.Leases)
					}
					last = x.Term
				}
				if open > 1 || (open == 1) != (j.State == Leased) && j.State != Completed && j.State != Acknowledged ||
					j.Outcome == Rejected && !j.ProvenNotRun() {
					t.Fatalf("invalid state: %+v", *j)
				}
				if j.NextAction() == ActionNone && j.State != Acknowledged {
					t.Fatalf("no action for the unfinished job %+v", *j)
				}
			}
		}
	})
}
