// Package route keeps the route table: discovery's list of egress targets
// (zone workers), where each is dialled, and the watch that brings changes.
package route

import (
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/tidwall/gjson"

	"example.org/bellstream/balance"
)

// Entry is one line of discovery's list.
type Entry struct {
	balance.WorkerInfo
	Dial string
}

// Update is one list, or the changes to it.
type Update struct {
	Seq     int64
	Whole   bool
	Entries []Entry
}

var states = map[string]balance.WorkerState{
	"active": balance.Running, "leaving": balance.Draining, "left": balance.Gone,
}

// Parse decodes a list in discovery's form. Unknown fields are skipped, and a
// state that is not known counts as draining.
func Parse(raw []byte) (*Update, error) {
	if !gjson.ValidBytes(raw) {
		return nil, errors.New("list: not valid JSON")
	}
	root := gjson.ParseBytes(raw)
	hosts := root.Get("hosts")
	if !root.IsObject() || !root.Get("seq").Exists() || hosts.Exists() && !hosts.IsArray() {
		return nil, errors.New("list: seq or hosts is missing or of a wrong type")
	}
	u := &Update{Seq: root.Get("seq").Int(), Whole: root.Get("whole").Bool()}
	for n, h := range hosts.Array() {
		e := Entry{Dial: h.Get("dial").String(), WorkerInfo: balance.WorkerInfo{
			ID: h.Get("host").String(), Zone: h.Get("site").String(), Kind: h.Get("class").String(),
			Cell: int(h.Get("block").Int()), State: states[h.Get("health").String()],
			Started: h.Get("born_ms").Float() / 1000}}
		if e.ID == "" || e.Dial == "" && e.State != balance.Gone {
			return nil, fmt.Errorf("list: hosts[%d] has no host or dial", n)
		}
		if e.State == "" {
			e.State = balance.Draining
		}
		u.Entries = append(u.Entries, e)
	}
	return u, nil
}

// forget is how long a target that the list no longer names can still be
// dialled: the decisions may hold on to one that was left out by mistake.
const forget = 900.0

type target struct {
	dial   string
	way    *Way // nil: nobody has asked since it was shut
	gone   bool
	goneAt float64
	// What was last told of it, by which version and when.
	state balance.WorkerState
	born  float64
	seq   int64
	at    float64
}

// Way is a target as it stood listed when somebody asked for it. It is shut for good by the first
// list that has the target drain, leave, start anew or be elsewhere.
type Way struct {
	Addr string
	shut atomic.Bool
}

// Shut says that what was decided for the target as it stood may not hold any more. Any
// goroutine may ask.
func (w *Way) Shut() bool { return w.shut.Load() }

func (x *target) shut() {
	if x.way != nil {
		x.way.shut.Store(true)
		x.way = nil
	}
}

// behind says that an entry opens what a newer version has closed: an older list that comes again, from
// another discovery or one that has started anew. Where numbers have begun again that can't be told
// apart, so it holds for a while only.
func (x *target) behind(e *Entry, seq int64, now float64) bool {
	closed := x.state == balance.Draining && e.State == balance.Running || x.state == balance.Gone && e.State != balance.Gone
	return closed && seq < x.seq && e.Started <= x.born && now < x.at+forget
}

// Table says where each egress target is dialled. It has one owner.
type Table struct {
	Seq     int64
	targets map[string]*target
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{targets: map[string]*target{}} }

// Len is how many targets are listed.
func (t *Table) Len() (n int) {
	for _, x := range t.targets {
		if !x.gone {
			n++
		}
	}
	return n
}

// Names are the targets that can be dialled.
func (t *Table) Names() map[string]bool {
	all := make(map[string]bool, len(t.targets))
	for host := range t.targets {
		all[host] = true
	}
	return all
}

// Dial returns the address of a target, or false for one never listed.
func (t *Table) Dial(host string) (string, bool) {
	if x := t.targets[host]; x != nil {
		return x.dial, true
	}
	return "", false
}

// Way is the way to a target as it is listed now; nil for one never listed.
func (t *Table) Way(host string) *Way {
	x := t.targets[host]
	if x == nil {
		return nil
	}
	if x.way == nil {
		x.way = &Way{Addr: x.dial}
	}
	return x.way
}

// Apply takes in an update and returns the addresses to which idle
// connections are of no more use. What a newer version has closed stays so, in the update too.
func (t *Table) Apply(u *Update, now float64) (closed []string) {
	t.Seq = u.Seq
	named := map[string]bool{}
	for i := range u.Entries {
		e := &u.Entries[i]
		named[e.ID] = true
		x := t.targets[e.ID]
		if x != nil && x.behind(e, u.Seq, now) {
			e.State, e.Started = x.state, x.born
			continue
		}
		if x == nil {
			if e.State == balance.Gone {
				continue
			}
			x = &target{}
			t.targets[e.ID] = x
		}
		if x.dial != "" && (e.State != balance.Running || e.Dial != x.dial) {
			closed = append(closed, x.dial)
			x.shut()
		}
		if e.Started > x.born { // another process
			x.shut()
		}
		if e.Dial != "" {
			x.dial = e.Dial
		}
		if gone := e.State == balance.Gone; gone != x.gone {
			x.gone, x.goneAt = gone, now
		}
		x.state, x.born, x.seq, x.at = e.State, max(x.born, e.Started), u.Seq, now
	}
	for host, x := range t.targets {
		if u.Whole && !named[host] && !x.gone {
			x.gone, x.goneAt = true, now
			x.state, x.seq, x.at = balance.Gone, u.Seq, now
			closed = append(closed, x.dial)
			x.shut()
		}
		if x.gone && now > x.goneAt+forget {
			delete(t.targets, host)
		}
	}
	return closed
}

// Roster puts an update in the decision module's words.
func (u *Update) Roster() balance.RosterUpdate {
	r := balance.RosterUpdate{Kind: balance.RosterDelta}
	if u.Whole {
		r.Kind = balance.RosterFull
	}
	for _, e := range u.Entries {
		r.Workers = append(r.Workers, e.WorkerInfo)
	}
	return r
}
