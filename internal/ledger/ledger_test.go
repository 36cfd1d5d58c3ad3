package ledger

import (
	"errors"
	"reflect"
	"testing"

	"example.org/bellstream/balance"
)

func take(id string, r balance.Repeat) Record { return Record{Kind: Take, ID: id, Repeat: r} }

// apply plays records, the last of which must be legal or not, as said.
func apply(t *testing.T, legal bool, records ...Record) *Ledger {
	t.Helper()
	l := New()
	for n, r := range records {
		err := l.Apply(r)
		if last := n == len(records)-1; (err == nil) != (legal || !last) || err != nil && !errors.Is(err, ErrIllegal) {
			t.Fatalf("%+v after %+v: %v", r, records[:n], err)
		}
	}
	return l
}

func TestLegalSteps(t *testing.T) {
	grant := func(term uint64) Record { return Record{Kind: Grant, ID: "a", Term: term, Worker: "w", Epoch: "e"} }
	settle := func(term uint64, f Fate) Record { return Record{Kind: Settle, ID: "a", Term: term, Fate: f} }
	report := func(o Outcome) Record { return Record{Kind: Report, ID: "a", Outcome: o} }
	ack := Record{Kind: Receive, ID: "a"}
	unsafe, safe := take("a", balance.Unsafe), take("a", balance.Safe)
	for _, c := range []struct {
		legal bool
		steps []Record
	}{
		{true, []Record{unsafe, grant(1), report(Served), ack}},
		{true, []Record{unsafe, grant(1), settle(1, Void), grant(2), settle(2, Void), report(Refused)}},
		{true, []Record{unsafe, report(Refused)}},
		{true, []Record{unsafe, grant(1), settle(1, Unknown), report(Failed)}},
		{true, []Record{safe, grant(1), settle(1, Unknown), grant(3)}},
		{false, []Record{unsafe, unsafe}},
		{false, []Record{{Kind: Take, Repeat: balance.Safe}}},
		{false, []Record{take("a", "sometimes")}},
		{false, []Record{grant(1)}},
		{false, []Record{unsafe, grant(0)}},
		{false, []Record{unsafe, grant(1), grant(2)}},
		{false, []Record{unsafe, grant(2), settle(2, Void), grant(2)}},
		{false, []Record{unsafe, grant(1), settle(1, Unknown), grant(2)}},
		{false, []Record{unsafe, grant(1), settle(2, Void)}},
		{false, []Record{unsafe, grant(1), settle(1, Open)}},
		{false, []Record{unsafe, grant(1), settle(1, Void), settle(1, Unknown)}},
		{false, []Record{unsafe, grant(1), report(Refused)}},
		{false, []Record{safe, grant(1), settle(1, Unknown), report(Refused)}},
		{false, []Record{unsafe, grant(1), report("perhaps")}},
		{false, []Record{unsafe, report(Failed), report(Served)}},
		{false, []Record{unsafe, report(Failed), grant(1)}},
		{false, []Record{unsafe, ack}},
		{false, []Record{unsafe, report(Failed), ack, ack}},
		{false, []Record{unsafe, {Kind: "other", ID: "a"}}},
	} {
		apply(t, c.legal, c.steps...)
	}
	l := apply(t, true, unsafe, report(Failed), ack)
	if !l.Forget("a") || l.Forget("a") || len(l.IDs()) != 0 {
		t.Error("an acknowledged job is not forgotten, or twice")
	}
	if l := apply(t, true, unsafe); l.Forget("a") {
		t.Error("a job that is owed an answer was forgotten")
	}
}

// FuzzApply plays random records: one that is refused changes nothing, and what
// is reached keeps the rules.
func FuzzApply(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4})
	f.Add([]byte{0, 9, 18, 27, 1, 10, 19, 4, 3, 12})
	f.Fuzz(func(t *testing.T, data []byte) {
		l := New()
		for _, b := range data[:min(len(data), 100)] {
			arg := int(b) / 8
			r := Record{Kind: []Kind{Take, Grant, Settle, Report, Receive, Grant, Settle, "x"}[b%8], ID: []string{"a", "b"}[arg%2],
				Repeat: []balance.Repeat{balance.Safe, balance.Unsafe}[arg/2%2], Term: uint64(arg % 5), Worker: "w",
				Fate: []Fate{Void, Unknown, Open}[arg%3], Outcome: []Outcome{Served, Failed, Refused}[arg%3]}
			var was Job
			if j := l.Job(r.ID); j != nil {
				was = *j
			}
			if err := l.Apply(r); err != nil {
				if j := l.Job(r.ID); j != nil && !reflect.DeepEqual(*j, was) {
					t.Fatalf("%+v was refused and changed %+v to %+v", r, was, *j)
				}
			}
			for _, id := range l.IDs() {
				open, last := 0, uint64(0)
				j := l.Job(id)
				for _, x := range j.Leases {
					if x.Fate == Open {
						open++
					}
					if x.Term <= last {
						t.Fatalf("terms do not grow: %+v", j.Leases)
					}
					last = x.Term
				}
				if open > 1 || (open == 1) != (j.State == Leased) && j.State != Reported && j.State != Acknowledged ||
					j.Outcome == Refused && !j.Unrun() {
					t.Fatalf("%+v", *j)
				}
				if j.Next() == Rest && j.State != Acknowledged {
					t.Fatalf("nothing is to be done for %+v", *j)
				}
			}
		}
	})
}
