package balance

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// What a Balancer remembers, without decisions.

// mean is a running mean that follows changes.
type mean struct{ n, v float64 }

func (m *mean) add(x float64) {
	m.n++
	m.v += (x - m.v) * max(learn, 1/m.n)
}

// or returns the mean, pulled towards a prior worth k observations.
func (m *mean) or(prior, k float64) float64 {
	n := min(m.n, 1/learn)
	return (n*m.v + k*prior) / (n + k)
}

// means holds a mean for each name.
type means map[string]*mean

func (m means) at(name string) *mean {
	if m[name] == nil {
		m[name] = &mean{}
	}
	return m[name]
}

type class struct {
	Class
	run      mean    // time from start to end, over all workers
	fullLeft float64 // longest patience seen: that of a first try
	ageing   float64 // size of its jobs that are promised a turn and have not had it
}

// work is the expected running time of a job on a middling worker.
func (c *class) work() float64 { return c.run.or(c.Aim, 1) }

type tenant struct {
	name   string
	quota  float64
	weight float64
	parts  float64  // 1 over this dispatcher's part of the quota
	local  float64  // tag of the next job by reservation
	global float64  // tag of the next job by weight
	tag    float64  // local, but no older than the job that is next
	first  float64  // its place in the present pass: -1 for a due tag, else by what its bucket lacks...
	then   float64  // ...and among equals by the tag that counts
	next   []choice // candidates of the present pass
	queue  queue    // what waits
	bucket float64  // slots that it may send beyond its reservation before that is surplus
	filled float64  // when the bucket was last filled
}

type job struct {
	place
	id       string
	class    *class
	tenant   *tenant
	born     float64 // when the client first asked, as far as can be told
	arrived  float64
	since    float64 // when it last joined the queue
	deadline float64
	ageing   float64 // when its longest wait is over
	agedFrom float64 // from when on it goes before the tags
	slots    float64
	mem      float64
	tries    []*attempt
	out      int     // attempts without an outcome
	failed   int     // attempts that ended with an error
	mayRan   bool    // an ended attempt may have run
	firstRan *worker // of a keyed job: the worker of the first attempt that may have run
	firstAt  float64
	closed   bool
}

type attempt struct {
	job     *job
	worker  *worker
	sent    float64
	started float64
	number  uint64 // of its sending
	done    bool
	local   bool
}

type worker struct {
	WorkerInfo
	told        WorkerState // by the roster, whatever operators say
	back        bool        // taken back by operators, and no job sent since
	drained     bool        // seen draining since its last start
	listed      int         // the last list or change that named it
	goneAt      float64     // since when the roster calls it gone or leaves it out; 0 while it is listed
	stranger    bool        // came with a list that can be wrong, and nothing was heard of it yet
	keep        float64     // from 0 to 1, the same to all dispatchers: the smallest are left to wide jobs
	rank        float64     // its place in the dispatcher's order
	est, estMem float64     // free slots and memory as estimated in this step
	slice       float64     // what may go there while cold, as of the last look
	turned      float64     // when its last turn of this dispatcher began; 0 if that is counted
	dealt       bool        // while it is cold, whole jobs are dealt out in turns
	turn        int         // the last look that took it in
	near        float64     // how much its zone is preferred
	lot         float64     // by which all dispatchers tell whose turn it is while cold
	busy        float64     // slots of own attempts out
	run, runMem float64     // what of it is in use, as far as can be told
	mem         float64
	past        []mark // own slots in use over time, oldest first
	tries       []*attempt
	rep         struct {
		ok          bool
		free, mem   float64 // what is taken as ours
		taken, recv float64
		raw         []float64
	}
	usual     *mean // free slots reported of late in its zone
	kin       *mean // running times of its kind against the fleet
	speed     mean  // running time over the class's mean
	failing   mean  // 1 for each failed attempt, 0 for each served one
	strikes   int
	rest      float64 // no jobs before this
	probation int     // successes still wanted
	down      bool    // no connection: only probes until one answers
	probing   bool
	probeAt   float64
	asked     float64 // when the last probe left
	spent     []mark  // work sent while cold
	spentAt   float64 // when the last of it left
}

// mark is a figure from a moment on.
type mark struct{ at, v, mem float64 }

// held is what own attempts had in use on the worker at some time.
func (w *worker) held(at float64) (slots, mem float64) {
	for i := len(w.past) - 1; i >= 0; i-- {
		if w.past[i].at <= at {
			return w.past[i].v, w.past[i].mem
		}
	}
	return 0, 0
}

// Balancer decides for one dispatcher. Make one with New.
type Balancer struct {
	cfg      Config
	rng      *rand.Rand
	now      float64
	acts     []Action
	out      int // attempts without an outcome
	sends    uint64
	classes  map[string]*class
	tenants  []*tenant // in the order of the settings, unknown ones after them
	byName   map[string]*tenant
	jobs     map[string]*job
	order    []*worker  // all, in this dispatcher's own order
	pool     []*worker  // those that the present step may send to
	watch    []*worker  // the same with those that rest or cannot be reached
	aging    agingQueue // what is promised a turn and has not had one
	kept     *worker    // kept free for an aged job, in this step
	keptFor  *job
	cold     []*worker  // those that started of late
	open     []*worker  // those of them that this dispatcher may send to now
	coldAt   float64    // when that is looked at again
	used     mean       // 1 for each turn at a cold worker in which a job was sent, 0 for others
	turn     int        // looks so far
	misses   mean       // 1 for each send turned away as full, 0 for each that started
	prompt   mean       // 1 for each send of a repeatable job that started soon
	failing  mean       // 1 for each attempt that failed, 0 for each served; a job's first failure alone
	helped   mean       // 1 for each repeat after an error that was served, 0 for each that failed
	unseen   []*attempt // of repeatable jobs, not started as far as told
	looked   float64    // when the last look was
	best     float64    // most free slots of one of them
	room     float64    // free slots in all of the pool, as estimated
	asking   bool       // an answer to a probe may come at any moment
	harmless bool       // some class may be repeated
	kinded   bool       // some class runs on one kind of worker only
	byID     map[string]*worker
	outs     map[string]float64 // workers that operators leave out, and since when
	kinds    means              // running times against the fleet's
	most     map[string]float64 // slots seen, by kind
	zones    means              // free slots reported of late

	widest    float64 // most slots seen at any worker
	allWork   float64 // slots times seconds that were asked for
	wideWork  float64 // the same by jobs that take more than half of a worker
	meanSlots mean
	span      mean    // running times, over all classes
	purse     float64 // worth that may be spent on probes
	wakeAt    float64
	roster    struct {
		subscribed bool
		next       float64
		asked      float64 // the last call
		fails      int
		known      int     // workers in order
		lists      int     // lists and changes taken in
		pruneAt    float64 // when unlisted workers are looked through again
	}
}

// renew voids what was known of a worker's process.
func (w *worker) renew() {
	w.rep.ok, w.rep.taken, w.drained = false, 0, false
	w.down, w.probation, w.strikes, w.rest, w.failing, w.spent = false, 0, 0, 0, mean{}, nil
}

// leave notes whether a worker is left out, and returns since when it was before.
func (b *Balancer) leave(e Maintenance) (since float64) {
	since = b.outs[e.Worker]
	switch {
	case !e.Out:
		delete(b.outs, e.Worker)
	case since == 0:
		b.outs[e.Worker] = b.now
	}
	return since
}

// cool remembers a worker among those that started of late, if it did.
func (b *Balancer) cool(w *worker) {
	if b.warm(w) < 1 && !slices.Contains(b.cold, w) {
		b.cold = append(b.cold, w)
	}
}

// bar puts a worker's state into force: the roster's, or operators' who leave it out.
func (b *Balancer) bar(w *worker) {
	if w.State = w.told; b.outs[w.ID] > 0 {
		w.State = Draining
	}
}

// adopt makes the classes and tenants of the settings. What was learnt of them
// stays, and so do tags. A class that changes by more than its promise is made anew:
// jobs that are here hold on to the one that they came with. One that is not named any more stays known, as jobs
// of it may be on their way; a tenant that is not has no reservation.
func (b *Balancer) adopt() {
	b.kinded, b.harmless = false, false
	for _, c := range b.cfg.Classes {
		n, old := &class{Class: c}, b.classes[c.Name]
		if old != nil {
			if old.MaxWait = c.MaxWait; old.Class == c {
				n = old
			}
			n.run = old.run
			if old.Deadline == c.Deadline {
				n.fullLeft = old.fullLeft
			}
		}
		b.classes[c.Name] = n
		b.kinded, b.harmless = b.kinded || c.Kind != "", b.harmless || c.Repeat == Safe
	}
	for _, t := range b.tenants {
		t.quota, t.weight = 0, 1
	}
	for _, t := range b.cfg.Tenants {
		if old := b.byName[t.Name]; old != nil {
			old.quota, old.weight = t.Quota, t.Weight
		} else {
			b.addTenant(t)
		}
	}
}

// retune takes other settings into force. Settings that can't be used change nothing.
func (b *Balancer) retune(e Retune) {
	next := e.Config
	if check(&next) != nil {
		return
	}
	old := b.cfg
	b.cfg = next
	b.adopt()
	if e.Strict {
		for _, j := range b.jobs {
			if c := b.classes[j.class.Name]; c != nil {
				j.class.narrow(c.Class)
			}
		}
	}
	if old.Dispatchers != next.Dispatchers {
		for _, t := range b.tenants {
			t.parts = float64(next.Dispatchers)
		}
	}
	if old.Dispatchers != next.Dispatchers || old.Index != next.Index || old.Zone != next.Zone {
		for _, w := range b.order {
			b.rank(w)
		}
		slices.SortStableFunc(b.order, func(x, y *worker) int { return cmp.Compare(x.rank, y.rank) })
	}
}

// narrow has a class repeat no more than another of its name does.
func (c *class) narrow(o Class) {
	rank := map[Repeat]int{Safe: 0, Keyed: 1, Unsafe: 2}
	switch {
	case rank[o.Repeat] > rank[c.Repeat]:
		c.Repeat, c.Scope, c.Window = o.Repeat, o.Scope, o.Window
	case o.Repeat == Keyed && c.Repeat == Keyed:
		if c.Window = min(c.Window, o.Window); c.Scope == ScopeAll {
			c.Scope = o.Scope
		} else if o.Scope != ScopeAll && o.Scope != c.Scope {
			c.Scope = "" // a zone and a cell have no order: none will do
		}
	}
}

func (b *Balancer) addTenant(t Tenant) *tenant {
	n := &tenant{name: t.Name, quota: t.Quota, weight: t.Weight, parts: float64(b.cfg.Dispatchers), global: math.Inf(-1), local: math.Inf(-1),
		bucket: idleCredit}
	b.tenants, b.byName[t.Name] = append(b.tenants, n), n
	return n
}

func (b *Balancer) do(a Action) { b.acts = append(b.acts, a) }

func (b *Balancer) logf(format string, args ...any) { b.do(Log{fmt.Sprintf(format, args...)}) }

// take books own slots on a worker, or frees them again.
func (b *Balancer) take(w *worker, slots, mem float64) {
	w.busy, w.mem = w.busy+slots, w.mem+mem
	if !b.cfg.StartNotes {
		b.running(w, slots, mem)
	}
	b.record(w)
}

// running books that own slots began or ceased to be in use, as start notes
// tell. Danger: a job that queues inside a worker would count for a slot, and
// each completion invite one more, so that the queue never goes away.
func (b *Balancer) running(w *worker, slots, mem float64) {
	w.run, w.runMem = w.run+slots, w.runMem+mem
	b.record(w)
}

func (b *Balancer) record(w *worker) {
	for len(w.past) > 1 && w.past[1].at < b.now-memory {
		w.past = w.past[1:]
	}
	w.past = append(w.past, mark{b.now, w.run, w.runMem})
}

func (b *Balancer) attempt(id string, n int) *attempt {
	j := b.jobs[id]
	if j == nil || n < 0 || n >= len(j.tries) || j.tries[n].done {
		return nil
	}
	return j.tries[n]
}

func (b *Balancer) unqueue(j *job) {
	if j.in != nil {
		b.aging.drop(j)
		j.in.remove(j)
	}
}

// draw takes one of the pool by chance, in proportion to their weights.
func (b *Balancer) draw(weigh func(*worker) float64) (found *worker) {
	total := 0.0
	for _, w := range b.pool {
		if v := weigh(w); v > 0 {
			if total += v; b.rng.Float64()*total < v {
				found = w
			}
		}
	}
	return found
}

// waiting and downs say that a job waits, and that a worker is to be probed.
func (b *Balancer) waiting() bool {
	return slices.ContainsFunc(b.tenants, func(t *tenant) bool { return t.queue.n > 0 })
}

func (b *Balancer) downs() bool {
	return slices.ContainsFunc(b.watch, func(w *worker) bool { return w.down })
}

// roomiest is the worker of the pool that lacks least of what a job needs.
func (b *Balancer) roomiest(j *job) (found *worker) {
	for _, w := range b.pool {
		if (j.class.Kind == "" || j.class.Kind == w.Kind) && b.trusted(j, w) && (found == nil || w.est > found.est) {
			found = w
		}
	}
	return found
}

// size is what a job counts for in tags: its slots, or its memory where that takes
// more of a worker (which has a unit of it for each slot).
func (j *job) size() float64 { return max(j.slots, j.mem) }

func (b *Balancer) remove(w *worker) {
	w.State = Gone
	delete(b.byID, w.ID)
	b.order = slices.DeleteFunc(b.order, func(o *worker) bool { return o == w })
}

// shape is what jobs of one kind have in common, choice one of them as a candidate.
type shape struct {
	c          *class
	slots, mem float64
	again      bool
}

type choice struct {
	j, first    *job
	odds, worth float64
}

// book takes in that a job leaves for a worker.
func (b *Balancer) book(j *job, w *worker, local bool) *attempt {
	b.sends++
	a := &attempt{job: j, worker: w, sent: b.now, number: b.sends, local: local}
	j.tries, j.out, b.out = append(j.tries, a), j.out+1, b.out+1
	if j.firstRan == nil {
		j.firstRan, j.firstAt = w, b.now
	}
	b.unqueue(j)
	w.back = false
	b.take(w, j.slots, j.mem)
	w.tries = append(w.tries, a)
	if b.warm(w) < 1 {
		w.spent, w.spentAt = append(w.spent, mark{at: b.now, v: j.class.work() * j.slots}), b.now
	}
	return a
}

// arm keeps one timer ahead for the next look at what waits or is to be asked.
func (b *Balancer) arm() {
	next := math.Inf(1)
	if b.cfg.AskRoster && !b.roster.subscribed {
		next = max(b.roster.next, b.now+busyWake)
	}
	if b.downs() {
		next = min(next, b.now+idleWake)
	}
	if len(b.unseen) > 0 {
		next = b.now + busyWake
	}
	if j := b.aging.while(b.aged, nil); j != nil {
		next = min(next, j.agedFrom+b.cfg.Tick)
	}
	if len(b.aging.list) > 0 && b.aged(b.aging.list[0]) {
		next = min(next, b.now+busyWake)
	}
	for _, t := range b.tenants {
		if t.queue.n == 0 {
			continue
		}
		// The longer one has waited, the less is a moment.
		next = min(next, b.now+max(busyWake, (b.now-t.queue.young.list[0].since)/5))
		for _, h := range t.queue.born {
			if j := h.while(func(j *job) bool { return b.hope(j) <= b.now }, nil); j != nil {
				next = min(next, b.hope(j)+b.cfg.Tick)
			}
		}
		end := func(j *job) float64 { return j.deadline - busyWake - b.cfg.Tick }
		if j := t.queue.end.while(func(j *job) bool { return end(j) <= b.now }, nil); j != nil {
			next = min(next, end(j)+b.cfg.Tick)
		}
	}
	// A timer may fire a rounding early: within half a tick it counts as fired.
	if b.wakeAt > b.now+b.cfg.Tick/2 && b.wakeAt <= next || math.IsInf(next, 1) {
		return
	}
	b.wakeAt = max(next, b.now+b.cfg.Tick)
	b.do(SetTimer{b.wakeAt - b.now})
}
