package dispatcher

import (
	"slices"
	"sync/atomic"
)

// Phase is the stage of the program between its start and its exit.
type Phase int32

// The phases.
const (
	Starting Phase = iota // the endpoint list is empty, /healthz answers 503
	Serving               // /healthz answers 200
	Paused                // paused by operators: /healthz answers 503, answers close their connections
	Retiring              // stopping: /healthz answers 503, everything else continues
	Draining              // still accepts requests, but closes their connections after the answer
	Closing               // draining is over: requests in flight get their final answers now
	Stopped               // nothing is in flight, the loop has ended
)

func (p Phase) String() string {
	return [...]string{"starting", "serving", "paused", "retiring", "draining", "closing", "stopped"}[p]
}

// transitions lists the phases that may follow each phase. A program that is stopping never serves again. A
// paused one returns to Serving through Starting, which it leaves at once if it has workers.
var transitions = [...][]Phase{
	Starting: {Serving, Paused, Retiring, Stopped},
	Serving:  {Paused, Retiring, Stopped},
	Paused:   {Starting, Retiring, Stopped},
	Retiring: {Draining, Closing, Stopped},
	Draining: {Closing, Stopped},
	Closing:  {Stopped},
	Stopped:  nil,
}

// Phases holds the program's phase. The loop and operators' commands change it; connections read it.
type Phases struct {
	current  atomic.Int32
	yielding atomic.Bool // a newer process of this dispatcher accepts the new clients
}

// Now returns the current phase.
func (p *Phases) Now() Phase { return Phase(p.current.Load()) }

// Enter changes to the next phase if that transition is allowed, and reports whether it did.
func (p *Phases) Enter(next Phase) bool {
	for {
		present := p.Now()
		if !slices.Contains(transitions[present], next) {
			return false
		}
		if p.current.CompareAndSwap(int32(present), int32(next)) {
			return true
		}
	}
}

// SetYielding sets whether a newer process of this dispatcher accepts the new clients.
func (p *Phases) SetYielding(yielding bool) { p.yielding.Store(yielding) }

// Yielding reports whether a newer process of this dispatcher accepts the new clients.
func (p *Phases) Yielding() bool { return p.yielding.Load() }

// Ready reports whether the dispatcher serves and accepts new clients. It stays true while this process stops if a
// newer process accepts them.
func (p *Phases) Ready() bool {
	now := p.Now()
	return now == Serving || now >= Retiring && p.Yielding()
}

// Ending reports whether clients are to disconnect after their next answer.
func (p *Phases) Ending() bool {
	now := p.Now()
	return now == Paused || now >= Draining || p.Yielding()
}
