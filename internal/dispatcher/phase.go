package dispatcher

import "sync/atomic"

// Phase is where the program stands between its start and its exit.
type Phase int32

// The phases, in their order. None is entered twice.
const (
	Starting Phase = iota // the route table is empty, /healthz answers 503
	Serving               // /healthz answers 200
	Retiring              // told to stop: /healthz answers 503, all else goes on
	Draining              // takes what still comes, closes connections behind it
	Closing               // the drain's time is over: what is held gets its final answer now
	Stopped               // nothing is held, the loop has ended
)

func (p Phase) String() string {
	return [...]string{"starting", "serving", "retiring", "draining", "closing", "stopped"}[p]
}

// Phases is the one object that holds the program's phase. The loop moves it
// on; connections read it.
type Phases struct{ now atomic.Int32 }

// Now is the present phase.
func (p *Phases) Now() Phase { return Phase(p.now.Load()) }

// Enter moves on to a later phase and says whether it did: there is no way back.
func (p *Phases) Enter(next Phase) bool {
	for {
		old := p.now.Load()
		if int32(next) <= old {
			return false
		}
		if p.now.CompareAndSwap(old, int32(next)) {
			return true
		}
	}
}

// Ready says that the program serves and new clients are welcome.
func (p *Phases) Ready() bool { return p.Now() == Serving }

// Ending says that clients are to leave with their next answer.
func (p *Phases) Ending() bool { return p.Now() >= Draining }
