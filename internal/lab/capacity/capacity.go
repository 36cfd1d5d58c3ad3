// Package capacity defines the size that the system must carry: the target's
// figures, what a dispatcher may spend on control, a generated load of that size,
// and the rules by which a page says "carried" or "not carried".
// docs/CAPACITY.md is generated from this package and from the results of
// `bellstream-lab run capacity`.
//
// The package does no I/O, reads no clock and starts no goroutine. All random
// numbers are drawn from a seed.
package capacity

// Figures is the size of a system: the target, or a percentage of it.
type Figures struct {
	Workers      int     // worker machines
	Accelerators int     // total; only some of the workers have any
	Regions      int     // never scaled: the layout of regions and zones is fixed
	Zones        int     // never scaled
	Jobs         int     // per day
	Starts       float64 // task starts per second at the peak
	Running      int     // tasks running at the same time
	Gang         int     // number of tasks of the largest gang; never scaled
	Teams        int     // teams that have quotas
	Urgent       float64 // seconds within which urgent work starts; a promise, never scaled
	Changes      int     // configuration changes per day
	InForce      float64 // seconds within which a change is in force everywhere; never scaled
	Core         float64 // percent of a core that a dispatcher may spend on control; never scaled
	Memory       float64 // MB, total memory of a dispatcher; never scaled
	Bytes        float64 // bytes per second that a dispatcher sends and receives for control; never scaled
	Machines     int     // machines reserved for control; never scaled
	Failures     float64 // machines that fail per day
	Restarts     float64 // machines that are restarted or replaced per day
}

// Target is the size that the system has to carry in about two years (issue 27).
var Target = Figures{
	Workers: 1000, Accelerators: 1400, Regions: 6, Zones: 22,
	Jobs: 11_000, Starts: 210, Running: 5200, Gang: 128,
	Teams: 410, Urgent: 7.3, Changes: 1700, InForce: 4,
	Core: 1.8, Memory: 256, Bytes: 5000, Machines: 17,
	Failures: 9, Restarts: 130,
}

// Percents are the sizes at which every figure is measured, in percent of the target.
var Percents = []int{10, 25, 50, 100, 200}

// Line is one line of the target; each line gets a verdict. A [Row] names its line by Key.
type Line struct {
	Key   string  `json:"key"`
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	Scale bool    `json:"scale"` // whether [Figures.Scale] scales the value
}

// Keys of the target's lines.
const (
	Workers      = "workers"
	Accelerators = "accelerators"
	Regions      = "regions"
	Zones        = "zones"
	Jobs         = "jobs"
	Starts       = "starts"
	Running      = "running"
	Gangs        = "gangs"
	Teams        = "teams"
	Urgent       = "urgent"
	Changes      = "changes"
	InForce      = "in-force"
	Core         = "core"
	Memory       = "memory"
	Bytes        = "bytes"
	Machines     = "machines"
	Failures     = "failures"
	Restarts     = "restarts"
	Racks        = "racks"
	ZoneLoss     = "zone-loss"
	Links        = "links"
)

// Lines returns the lines of the target, in the order in which issue 27 lists them.
func (f Figures) Lines() []Line {
	return []Line{
		{Workers, "workers", float64(f.Workers), "machines", true},
		{Accelerators, "accelerators among them", float64(f.Accelerators), "accelerators", true},
		{Regions, "regions", float64(f.Regions), "regions", false},
		{Zones, "zones", float64(f.Zones), "zones", false},
		{Jobs, "jobs a day", float64(f.Jobs), "jobs", true},
		{Starts, "task starts at the peak", f.Starts, "a second", true},
		{Running, "tasks running", float64(f.Running), "tasks", true},
		{Gangs, "a gang's tasks, at most", float64(f.Gang), "tasks", false},
		{Teams, "teams with quotas", float64(f.Teams), "teams", true},
		{Urgent, "urgent work starts within", f.Urgent, "s", false},
		{Changes, "configuration changes a day", float64(f.Changes), "changes", true},
		{InForce, "a change is in force everywhere within", f.InForce, "s", false},
		{Core, "control, of a core", f.Core, "%", false},
		{Memory, "control, memory", f.Memory, "MB", false},
		{Bytes, "control, sent and received", f.Bytes, "B/s", false},
		{Machines, "machines set aside for control", float64(f.Machines), "machines", false},
		{Failures, "machines that fail on an ordinary day", f.Failures, "machines", true},
		{Restarts, "machines restarted or replaced on an ordinary day", f.Restarts, "machines", true},
		{Racks, "a rack or a switch goes", 1, "every month or two", false},
		{ZoneLoss, "a zone goes", 2, "a year", false},
		{Links, "two regions lose each other for minutes", 4, "a year", false},
	}
}

// Scale returns the given percentage of f. It scales every figure that grows with the amount of work; regions,
// zones, promised times, the largest gang and the budget for control stay the same. Integers are rounded and at
// least 1.
func (f Figures) Scale(percent int) Figures {
	part := float64(percent) / 100
	n := func(x int) int { return max(1, int(float64(x)*part+0.5)) }
	f.Workers, f.Accelerators, f.Jobs, f.Running, f.Teams, f.Changes = n(f.Workers), n(f.Accelerators), n(f.Jobs), n(f.Running), n(f.Teams), n(f.Changes)
	f.Starts, f.Failures, f.Restarts = f.Starts*part, f.Failures*part, f.Restarts*part
	return f
}

// Kind is a kind of control traffic and work. The budget is a sum over the kinds.
type Kind string

// Kinds of control. Together they cover everything that a dispatcher sends, receives and computes, except for
// client requests, forwarding them to workers and their answers.
const (
	Membership Kind = "membership"       // which instances are members
	Counts     Kind = "counts and loans" // how much of a quota was used and how much may be used
	Agreement  Kind = "agreement at rest"
	Versions   Kind = "versions" // configuration changes
	Seats      Kind = "seats"    // which instance queues which shard
	Lists      Kind = "lists"    // endpoint lists of workers, from discovery
	Probes     Kind = "probes and reports"
)

// Entry is one kind of control in the budget.
type Entry struct {
	Kind Kind
	By   string // what its cost grows with
	Why  string // why it counts as control
}

// Budget lists the kinds whose costs are summed and compared with 5 KB per second, 1.8 % of a core and 256 MB.
var Budget = []Entry{
	{Membership, "instances", "nothing of it serves a request"},
	{Counts, "instances, teams, starts a second", "it decides who may use what, for all requests at once"},
	{Agreement, "voters, instances", "leases and heartbeats, also while nothing changes"},
	{Versions, "changes a minute, table size, instances", "1,700 a day are a steady load"},
	{Seats, "shards, changes of instances", "who queues what; the queued jobs themselves are work, not control"},
	{Lists, "workers, changes of the list", "sent by discovery, read by each dispatcher"},
	{Probes, "workers, requests", "questions to workers that no client asked; a report inside an answer is part of the answer and does not count"},
}

// How is the method by which a figure was obtained.
type How string

// Methods by which a figure is obtained.
const (
	OnSockets    How = "on sockets"     // real processes or hollow instances on loopback
	VirtualTime  How = "virtual time"   // the same code with a simulated network and clock
	Computed     How = "computed"       // from formats and settings, by the production code
	Extrapolated How = "extrapolated"   // by a slope, beyond the sizes that were run
	NotMeasured  How = "not measured"   // no figure
	NoMechanism  How = "no mechanism"   // the system has no mechanism for this line
	NotYetJoined How = "not joined yet" // measured by another part, result not merged yet
)

// Row is a figure that is compared with the target at one size.
type Row struct {
	Line     string  `json:"line"`    // key of the target's line
	Percent  int     `json:"percent"` // size as a percentage of the target
	What     string  `json:"what"`    // what was measured; the same text at every percentage
	Bound    float64 `json:"bound"`
	Measured float64 `json:"measured"`
	Least    bool    `json:"least,omitempty"` // the bound is a minimum; otherwise it is a maximum
	Unit     string  `json:"unit"`
	Held     bool    `json:"held"`
	How      How     `json:"how"`
	Setting  string  `json:"setting,omitempty"` // the settings that differ from the default; empty: none
	Shown    bool    `json:"shown,omitempty"`   // shown but not judged: docs/questions.md says why
	Kind     Kind    `json:"kind,omitempty"`    // kind of control, if the row is a part of the budget's sum
	When     When    `json:"when,omitempty"`    // period of a part of the sum; empty is the mean
	Run      int     `json:"-"`                 // number of the page's run that measured it, from 1; 0: computed from rows
}

// When is the period over which a part of the budget's sum was measured.
type When string

// Periods over which the budget is summed. The worst second is shown but not judged: a message that is read
// as a whole arrives within one second, and the target's "a second" is the unit of a rate.
const (
	Mean   When = ""
	Second When = "the worst second"
	Minute When = "the minute after a zone went"
)

// AtMost returns a row whose figure must not exceed its bound. A NaN does not hold.
func AtMost(line string, percent int, what string, bound, measured float64, unit string, how How) Row {
	return Row{Line: line, Percent: percent, What: what, Bound: bound, Measured: measured, Unit: unit, Held: measured <= bound, How: how}
}

// AtLeast returns a row whose figure must not be below its bound. A NaN does not hold.
func AtLeast(line string, percent int, what string, bound, measured float64, unit string, how How) Row {
	return Row{Line: line, Percent: percent, What: what, Bound: bound, Measured: measured, Least: true, Unit: unit, Held: measured >= bound, How: how}
}
