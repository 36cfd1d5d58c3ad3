package balance

import (
	"cmp"
	"math"
	"slices"
)

// What becomes of a tenant's queue and tags when another Balancer goes on with them, without
// decisions. Times leave as distances from now, since two clocks need not agree.

// Yield has a tenant's queue, its jobs that are out and its tags taken out; one Yielded answers it.
type Yield struct{ Tenant string }

// TakeOver has this Balancer go on where another one's Yield ended. Jobs that are here already
// stay as they are. Take over at the moment of the Yield, and no later decision is another, but
// for what the end of an attempt at a worker that has left the roster meanwhile teaches of its zone.
type TakeOver struct{ State TenantState }

// Yielded answers a Yield: from now on nothing of the tenant is here.
type Yielded struct{ State TenantState }

// Unsent says that a job's last Send was never carried out, by whoever is between: it waits again
// as if it had not been sent, nothing is learnt of its worker, and what it was charged goes back.
type Unsent struct {
	ID      string
	Attempt int
}

func (Unsent) event()   {}
func (Yield) event()    {}
func (TakeOver) event() {}
func (Yielded) action() {}

// TenantState is a tenant between two Balancers. Times are seconds.
type TenantState struct {
	Tenant string
	Local  float64 // tag, from now on; negative infinity: it had none yet
	Global float64
	Parts  float64 // 1 over the part of the reservation by which Local was spaced
	Bucket float64 // slots that it may send beyond its reservation before that is surplus
	Filled float64 // ago
	Jobs   []JobState
}

// JobState is a job between two Balancers.
type JobState struct {
	ID, Class        string
	Slots, Memory    float64
	Age, Born, Since float64 // ago: it came, its client first asked, it last joined the queue
	Left             float64 // until its client gives up
	Queued           bool    // it waits for a hop
	Order            uint64  // in its tenant's queue, among those that came at once
	At, Of           int     // its place among those like it, gaps counted: a search in a long queue goes by these
	Failed           int     // attempts that ended with an error
	MayRan           bool    // an ended attempt may have run
	Closed           bool    // it is answered, and an attempt is out
	// FirstRan is, of a keyed job, the worker of the first attempt that may have run, with
	// Started as ago; none has no ID.
	FirstRan WorkerInfo
	FirstAge float64
	Tries    []TryState
}

// TryState is an attempt between two Balancers.
type TryState struct {
	Worker  WorkerInfo // Started as ago, for one that the other does not know
	Sent    float64    // ago
	Started float64    // ago; negative: nobody has told of it
	Number  uint64     // of its sending
	Done    bool
	Local   bool // it was charged to the reservation
	Unseen  bool // it is asked after, should it not start soon
}

// carry takes in the events that decide nothing by themselves.
func (b *Balancer) carry(e Event) {
	switch e := e.(type) {
	case Retune:
		b.retune(e)
	case Yield:
		b.do(Yielded{b.yield(e.Tenant)})
	case TakeOver:
		b.takeOver(e.State)
	case Unsent:
		if a := b.attempt(e.ID, e.Attempt); a != nil && e.Attempt == len(a.job.tries)-1 {
			b.unsend(a.job, a)
		}
	}
}

func (b *Balancer) yield(name string) TenantState {
	s := TenantState{Tenant: name, Local: math.Inf(-1), Global: math.Inf(-1)}
	t := b.byName[name]
	if t == nil {
		return s
	}
	s.Local, s.Global, s.Parts, s.Bucket, s.Filled = t.local-b.now, t.global-b.now, t.parts, t.bucket, b.now-t.filled
	s.Jobs = make([]JobState, 0, t.queue.n)
	for _, j := range b.jobs {
		if j.tenant != t {
			continue
		}
		k := JobState{ID: j.id, Class: j.class.Name, Slots: j.slots, Memory: j.mem, Age: b.now - j.arrived, Born: b.now - j.born,
			Since: b.now - j.since, Left: j.deadline - b.now, Queued: j.in != nil, Order: j.seq, Failed: j.failed, MayRan: j.mayRan, Closed: j.closed}
		if k.Queued {
			k.At, k.Of = j.at, len(j.group.jobs)
		}
		if f := j.firstRan; f != nil {
			k.FirstRan, k.FirstAge = b.told(f), b.now-j.firstAt
		}
		for _, a := range j.tries {
			y := TryState{Worker: b.told(a.worker), Sent: b.now - a.sent, Started: -1, Number: a.number, Done: a.done, Local: a.local,
				Unseen: slices.Contains(b.unseen, a)}
			if a.started > 0 {
				y.Started = b.now - a.started
			}
			k.Tries = append(k.Tries, y)
			if !a.done {
				b.unbook(j, a)
			}
		}
		delete(b.jobs, j.id)
		if j.in != nil {
			b.aging.drop(j)
			j.place = place{}
		}
		s.Jobs = append(s.Jobs, k)
	}
	t.queue = queue{} // as a whole: one by one, 20,000 jobs take a tenth of a second
	slices.SortFunc(s.Jobs, func(x, y JobState) int {
		return cmp.Or(cmp.Compare(y.Age, x.Age), cmp.Compare(x.Order, y.Order), cmp.Compare(x.ID, y.ID))
	})
	t.local, t.global, t.bucket, t.filled = math.Inf(-1), math.Inf(-1), idleCredit, b.now
	return s
}

func (b *Balancer) takeOver(s TenantState) {
	t := b.byName[s.Tenant]
	if t == nil {
		t = b.addTenant(Tenant{Name: s.Tenant, Weight: 1})
	}
	// What came here before the state did was charged by tags that began now.
	t.local, t.global = max(t.local, b.now+s.Local), max(t.global, b.now+s.Global)
	if s.Parts > 0 {
		if t.parts != s.Parts {
			t.local += max(0, t.local-b.now) * (t.parts/s.Parts - 1)
		}
		t.bucket, t.filled = s.Bucket, b.now-s.Filled
	}
	var out []*attempt
	for _, k := range s.Jobs {
		if b.jobs[k.ID] != nil {
			continue
		}
		j := &job{id: k.ID, class: b.classes[k.Class], tenant: t, arrived: b.now - k.Age, born: b.now - k.Born, since: b.now - k.Since,
			deadline: b.now + k.Left, slots: k.Slots, mem: k.Memory, failed: k.Failed, mayRan: k.MayRan, closed: k.Closed}
		if j.class == nil {
			j.class = b.stranger(k.Class, k.Age+k.Left)
		}
		if k.FirstRan.ID != "" {
			j.firstRan, j.firstAt = b.known(k.FirstRan), b.now-k.FirstAge
		}
		for _, y := range k.Tries {
			a := &attempt{job: j, worker: b.known(y.Worker), sent: b.now - y.Sent, number: y.Number, done: y.Done, local: y.Local}
			if y.Started >= 0 {
				a.started = b.now - y.Started
			}
			if j.tries = append(j.tries, a); !a.done {
				out = append(out, a)
				if y.Unseen {
					b.unseen = append(b.unseen, a)
				}
			}
		}
		b.jobs[j.id] = j
		if k.Queued {
			t.queue.add(j)
			b.aging.add(j)
		}
	}
	for _, k := range slices.Backward(s.Jobs) {
		if j := b.jobs[k.ID]; k.Queued && j.tenant == t && j.in != nil {
			j.group.spread(j, k.At, k.Of)
		}
	}
	sent := func(x, y *attempt) int { return cmp.Or(cmp.Compare(x.sent, y.sent), cmp.Compare(x.number, y.number)) }
	for _, a := range out {
		b.rebook(a)
	}
	for _, a := range out {
		slices.SortStableFunc(a.worker.tries, sent)
	}
	slices.SortStableFunc(b.unseen, sent)
}

func (b *Balancer) unsend(j *job, a *attempt) {
	b.unbook(j, a)
	b.charge(j.tenant, -j.size(), a.local)
	j.tries, j.out = j.tries[:len(j.tries)-1], j.out-1
	if j.out == 0 && !j.mayRan {
		j.firstRan = nil
	}
	if j.closed {
		b.close(j)
	} else if j.out == 0 {
		b.enqueue(j)
	}
}

// unbook takes an attempt that is out off its worker; rebook puts it there again.
func (b *Balancer) unbook(j *job, a *attempt) {
	b.out--
	if b.cfg.StartNotes && a.started > 0 {
		b.running(a.worker, -j.slots, -j.mem)
	}
	b.take(a.worker, -j.slots, -j.mem)
	is := func(o *attempt) bool { return o == a }
	a.worker.tries = slices.DeleteFunc(a.worker.tries, is)
	b.unseen = slices.DeleteFunc(b.unseen, is)
}

func (b *Balancer) rebook(a *attempt) {
	j, w := a.job, a.worker
	j.out, b.out = j.out+1, b.out+1
	b.take(w, j.slots, j.mem)
	if b.cfg.StartNotes && a.started > 0 {
		b.running(w, j.slots, j.mem)
	}
	w.tries = append(w.tries, a)
}

// told is a worker as another Balancer is told of it.
func (b *Balancer) told(w *worker) WorkerInfo {
	i := w.WorkerInfo
	if i.Started != 0 {
		i.Started = b.now - i.Started
	}
	return i
}

// known is a worker that another Balancer told of; one that the roster here does not name, or
// not any more, stands apart.
func (b *Balancer) known(i WorkerInfo) *worker {
	if w := b.byID[i.ID]; w != nil && i.State != Gone { // it may be back as another process
		return w
	}
	if i.State = Gone; i.Started != 0 {
		i.Started = b.now - i.Started
	}
	return &worker{WorkerInfo: i, usual: b.zones.at(i.Zone), kin: b.kinds.at(i.Kind)}
}

// stranger is a class that the settings do not name: the most careful treatment.
func (b *Balancer) stranger(name string, patience float64) *class {
	return &class{Class: Class{Name: name, Aim: patience, Deadline: patience, Worth: 1, Repeat: Unsafe}}
}
