package experiments

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"
)

// Step is one fault of a schedule, as a line of text:
//
//	after 1.5s [when CONDITION] FAULT TARGET [for 2s]
//
// The target of a link fault is A>B for one direction or A<>B for both, where each side is a list of names joined
// by +, or * for all other instances. The target of an instance fault is one such side. A name is that of
// an instance, or one that the player resolves, such as leader.
type Step struct {
	After  time.Duration // time since the previous step was played
	When   string        // condition known to the player, awaited once After has passed; empty: none
	Do, To string        // fault and target
	For    time.Duration // until the fault is undone; 0: at the end of the schedule
}

// Schedule is a list of faults in the order in which they begin. Their durations may overlap.
type Schedule []Step

func (s Step) String() string {
	text := "after " + s.After.String()
	if s.When != "" {
		text += " when " + s.When
	}
	if text += " " + s.Do + " " + s.To; s.For > 0 {
		text += " for " + s.For.String()
	}
	return text
}

func (s Schedule) String() string {
	var b strings.Builder
	for _, x := range s {
		fmt.Fprintln(&b, x)
	}
	return b.String()
}

var stepForm = regexp.MustCompile(`^after (\S+)(?: when (\S+))? (\S+) (\S+?)(?: for (\S+))?$`)

// ParseSchedule reads the output of String; empty lines and lines that begin with # are skipped.
func ParseSchedule(text string) (s Schedule, err error) {
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		m := stepForm.FindStringSubmatch(line)
		if m == nil {
			return nil, fmt.Errorf("line %d: invalid step %q, want: after 1s [when CONDITION] FAULT TARGET [for 1s]", i+1, line)
		}
		x := Step{When: m[2], Do: m[3], To: m[4]}
		if x.After, err = time.ParseDuration(m[1]); err == nil && m[5] != "" {
			x.For, err = time.ParseDuration(m[5])
		}
		if err != nil || x.After < 0 || x.For < 0 {
			return nil, fmt.Errorf("line %d: %q has an invalid or negative duration (%v)", i+1, line, err)
		}
		s = append(s, x)
	}
	return s, nil
}

// ScheduleOptions are the parameters of a random schedule.
type ScheduleOptions struct {
	Steps  int
	Gap    time.Duration // mean time between two steps
	Span   time.Duration // longest duration of a fault; the shortest is a quarter of it
	Faults []string
	Names  []string // at least two
	When   []string // about half of the steps wait for one of these conditions, chosen at random; empty: none does
}

// Generate draws a schedule: the same one for the same seed and options.
func (m ScheduleOptions) Generate(seed uint64) (s Schedule) {
	rng := rand.New(rand.NewPCG(seed, 0x5c4ed))
	for range m.Steps {
		step := Step{After: time.Duration(2 * rng.Float64() * float64(m.Gap)).Round(time.Millisecond), Do: m.Faults[rng.IntN(len(m.Faults))],
			For: time.Duration((0.25 + 0.75*rng.Float64()) * float64(m.Span)).Round(time.Millisecond)}
		if len(m.When) > 0 && rng.IntN(2) == 0 {
			step.When = m.When[rng.IntN(len(m.When))]
		}
		picks := rng.Perm(len(m.Names))
		a, b := m.Names[picks[0]], m.Names[picks[1]]
		step.To = a
		if _, ok := linkFaults[step.Do]; ok || step.Do == "reset" {
			step.To = []string{a + ">" + b, a + "<>" + b, a + ">*", "*>" + a, a + "<>*", a + "+" + b + "<>*"}[rng.IntN(6)]
		}
		if step.Do == "reset" || step.Do == "reload" { // these take no time, so there is nothing to undo
			step.For = 0
		}
		s = append(s, step)
	}
	return s
}

// linkFaults maps the names of link faults to what they do.
var linkFaults = map[string]Link{
	"cut":     {Cut: true},
	"delay":   {Delay: 200 * time.Millisecond, Jitter: 200 * time.Millisecond},
	"slow":    {Rate: 4 << 10},
	"lose":    {Loss: 0.5},
	"repeat":  {Repeat: 0.5},
	"reorder": {Reorder: 0.5},
}

// nodeFaults maps the names of instance faults to functions that cause them and return a function that undoes them.
var nodeFaults = map[string]func(x *Instance, rng *rand.Rand) (func() error, error){
	"kill": func(x *Instance, _ *rand.Rand) (func() error, error) {
		x.Kill()
		return x.Start, nil
	},
	"stop": func(x *Instance, _ *rand.Rand) (func() error, error) {
		thaw, err := x.Freeze()
		return func() error { thaw(); return nil }, err
	},
	"wipe": func(x *Instance, _ *rand.Rand) (func() error, error) {
		x.Kill()
		return x.Start, x.Wipe()
	},
	"tear": func(x *Instance, rng *rand.Rand) (func() error, error) {
		x.Kill()
		return x.Start, x.Tear(rng)
	},
	"fill": func(x *Instance, _ *rand.Rand) (func() error, error) {
		removeLimit, err := x.Fill()
		return func() error { removeLimit(); return nil }, err
	},
	"reload": func(x *Instance, _ *rand.Rand) (func() error, error) {
		return func() error { return nil }, x.Reload()
	},
}

// Player causes the faults of schedules on a cluster of processes.
type Player struct {
	*Processes
	Conditions map[string]func() bool
	Names      map[string]func() string // resolve a name such as leader when a step is played; empty result: no instance yet
	Bound      time.Duration            // longest wait for a condition or for a name to resolve; 0: 10 s
	Log        func(format string, args ...any)
}

// Play plays a schedule to its end and undoes the faults that are still in effect. An error names seed, step and
// schedule.
func (p *Player) Play(ctx context.Context, s Schedule) error {
	var (
		undos sync.WaitGroup
		mu    sync.Mutex
		errs  []error
	)
	fail := func(i int, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			errs = append(errs, fmt.Errorf("step %d, %v: %w", i+1, s[i], err))
		}
	}
	ended := make(chan struct{})
	for i, x := range s {
		select {
		case <-ctx.Done():
		case <-time.After(x.After):
		}
		if ctx.Err() != nil {
			break
		}
		undo, err := p.apply(x, rand.New(rand.NewPCG(p.seed, uint64(i))))
		if err != nil {
			fail(i, err)
			break
		}
		if p.Log != nil {
			p.Log("%v", x)
		}
		undos.Go(func() {
			var expired <-chan time.Time
			if x.For > 0 {
				expired = time.After(x.For)
			}
			select {
			case <-expired:
			case <-ctx.Done():
			case <-ended:
				if x.For > 0 { // the fault lasts for x.For even if the schedule has ended
					<-expired
				}
			}
			fail(i, undo())
		})
	}
	close(ended)
	undos.Wait()
	if len(errs) > 0 {
		return fmt.Errorf("seed %d: %w\nthe schedule:\n%v", p.seed, errors.Join(errs...), s)
	}
	return nil
}

// apply waits for the condition of a step and causes its fault; undo ends the fault.
func (p *Player) apply(x Step, rng *rand.Rand) (undo func() error, err error) {
	bound := p.Bound
	if bound == 0 {
		bound = 10 * time.Second
	}
	if x.When != "" {
		ok := p.Conditions[x.When]
		if ok == nil {
			return nil, fmt.Errorf("unknown condition %q, want one of %v", x.When, slices.Sorted(maps.Keys(p.Conditions)))
		}
		if err := Until(bound, x.When, ok); err != nil {
			return nil, err
		}
	}
	if l, ok := linkFaults[x.Do]; ok || x.Do == "reset" {
		matches, err := p.links(x.To, bound)
		if err != nil {
			return nil, err
		}
		if x.Do == "reset" {
			p.Relay.Reset(matches)
			return func() error { return nil }, nil
		}
		removeFault := p.Relay.AddFault(matches, l)
		return func() error { removeFault(); return nil }, nil
	}
	do := nodeFaults[x.Do]
	if do == nil {
		return nil, fmt.Errorf("unknown fault %q, want one of %v or %v", x.Do, slices.Sorted(maps.Keys(nodeFaults)), slices.Sorted(maps.Keys(linkFaults)))
	}
	side, err := p.side(x.To, bound)
	if err != nil {
		return nil, err
	}
	var undos []func() error
	for _, i := range side {
		undo, err := do(p.Nodes[i], rng)
		if err != nil {
			return nil, err
		}
		undos = append(undos, undo)
	}
	return func() error {
		var wg sync.WaitGroup
		errs := make([]error, len(undos))
		for i, undo := range undos { // each may wait for a process to serve
			wg.Go(func() { errs[i] = undo() })
		}
		wg.Wait()
		return errors.Join(errs...)
	}, nil
}

// side returns the indexes of the instances whose names are joined by + in text.
func (p *Player) side(text string, bound time.Duration) (list []int, err error) {
	for _, name := range strings.Split(text, "+") {
		if resolve := p.Names[name]; resolve != nil {
			if err := Until(bound, name+" to name an instance", func() bool { name = resolve(); return name != "" }); err != nil {
				return nil, err
			}
		}
		i := p.Index(name)
		if i < 0 {
			return nil, fmt.Errorf("unknown instance %q", name)
		}
		list = append(list, i)
	}
	return list, nil
}

// links returns a function that reports whether the link target A>B or A<>B includes a link.
func (p *Player) links(text string, bound time.Duration) (func(from, to int) bool, error) {
	left, right, ok := strings.Cut(text, ">")
	left, both := strings.CutSuffix(left, "<")
	if !ok || left == "*" && right == "*" {
		return nil, fmt.Errorf("invalid link target %q, want A>B or A<>B", text)
	}
	var sides [2][]int // nil: *
	for k, t := range []string{left, right} {
		if t == "*" {
			continue
		}
		var err error
		if sides[k], err = p.side(t, bound); err != nil {
			return nil, err
		}
	}
	inSide := func(k, i int) bool {
		if sides[k] == nil {
			return !slices.Contains(sides[1-k], i)
		}
		return slices.Contains(sides[k], i)
	}
	return func(from, to int) bool {
		return from != to && (inSide(0, from) && inSide(1, to) || both && inSide(0, to) && inSide(1, from))
	}, nil
}
