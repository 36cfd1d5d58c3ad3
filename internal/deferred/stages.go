package deferred

import (
	"cmp"
	"container/list"
	"slices"
)

// Stage is what a job waits for before its first or next attempt.
type Stage string

// The stages of a wait.
const (
	StageDeferred Stage = "held"   // the job is not eligible yet
	StageQueued   Stage = "queued" // the job waits for a worker
)

// Depths counts waiting jobs by stage, class and tenant, and records when the oldest one of each started to
// wait. All methods but Read take O(1); memory is proportional to the number of waiting jobs.
type Depths struct {
	queues        map[queueKey]*list.List // times at which jobs were entered, oldest first
	firstAttempts map[string]*FirstAttempts
}

type queueKey struct {
	stage  Stage
	class  string
	tenant string
}

// QueuePlace is a job's place in one of the queues of Depths. The zero value is a job that is in no queue.
type QueuePlace struct {
	element *list.Element
	key     queueKey
}

// Depth counts the jobs of one stage, class and tenant.
type Depth struct {
	Stage  Stage   `json:"stage"`
	Class  string  `json:"class"`
	Tenant string  `json:"tenant"`
	Jobs   int     `json:"jobs"`
	Oldest float64 `json:"oldest_s"` // seconds that the oldest job has waited
}

// FirstAttempts counts the first attempts of the jobs of a class, and how long those jobs were eligible before
// them, in seconds.
type FirstAttempts struct {
	Class    string  `json:"class"`
	Sent     uint64  `json:"sent_total"`
	Waited   float64 `json:"waited_s_total"`
	Longest  float64 `json:"longest_s"`
	Late     uint64  `json:"late_total"`    // first attempts made later than promised
	Unsent   uint64  `json:"unsent_total"`  // jobs that were promised an attempt and ended without one
	Declined uint64  `json:"refused_total"` // jobs rejected on arrival: no attempt in time could be promised
}

// NewDepths returns empty counts.
func NewDepths() *Depths {
	return &Depths{
		queues:        map[queueKey]*list.List{},
		firstAttempts: map[string]*FirstAttempts{},
	}
}

// Enter records that a job waits in a stage from now on. If place is in a queue, the job leaves that queue
// first. The value of now must not decrease between calls.
func (d *Depths) Enter(now float64, place *QueuePlace, stage Stage, class, tenant string) {
	d.Leave(place)
	place.key = queueKey{stage: stage, class: class, tenant: tenant}
	queue := d.queues[place.key]
	if queue == nil {
		queue = list.New()
		d.queues[place.key] = queue
	}
	place.element = queue.PushBack(now)
}

// Leave removes a job from its queue, if it is in one.
func (d *Depths) Leave(place *QueuePlace) {
	if place.element == nil {
		return
	}
	queue := d.queues[place.key]
	queue.Remove(place.element)
	if queue.Len() == 0 {
		delete(d.queues, place.key)
	}
	place.element = nil
}

// FirstAttempts returns the counters of a class, which the caller may update.
func (d *Depths) FirstAttempts(class string) *FirstAttempts {
	figures := d.firstAttempts[class]
	if figures == nil {
		figures = &FirstAttempts{Class: class}
		d.firstAttempts[class] = figures
	}
	return figures
}

// Observe records a first attempt that was made after a wait, in seconds, and reports whether that was later
// than promised. If promised is 0, no maximum wait was promised.
func (f *FirstAttempts) Observe(wait, promised float64) (late bool) {
	f.Sent++
	f.Waited += wait
	f.Longest = max(f.Longest, wait)
	late = promised > 0 && wait > promised
	if late {
		f.Late++
	}
	return late
}

// Read returns the depths sorted by stage, class and tenant, and the first attempts sorted by class.
func (d *Depths) Read(now float64) (depths []Depth, attempts []FirstAttempts) {
	for key, queue := range d.queues {
		depths = append(depths, Depth{
			Stage:  key.stage,
			Class:  key.class,
			Tenant: key.tenant,
			Jobs:   queue.Len(),
			Oldest: max(0, now-queue.Front().Value.(float64)),
		})
	}
	slices.SortFunc(depths, func(a, b Depth) int {
		return cmp.Or(cmp.Compare(a.Stage, b.Stage), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Tenant, b.Tenant))
	})
	for _, figures := range d.firstAttempts {
		attempts = append(attempts, *figures)
	}
	slices.SortFunc(attempts, func(a, b FirstAttempts) int { return cmp.Compare(a.Class, b.Class) })
	return depths, attempts
}
