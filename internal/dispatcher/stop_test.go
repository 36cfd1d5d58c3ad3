package dispatcher

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"example.org/bellstream/internal/ingress"
	"example.org/bellstream/internal/route"
	"example.org/bellstream/internal/settings"
)

// ends lets time go by until the loop is over, and returns how long that took.
func (r *rig) ends() time.Duration {
	r.t.Helper()
	from := r.now
	for ; r.now.Sub(from) < time.Minute; r.now = r.now.Add(4 * time.Millisecond) {
		r.drain()
		r.turn(r.clock())
		if r.finished(r.clock()) {
			return r.now.Sub(from)
		}
	}
	r.t.Fatal("the loop does not end")
	return 0
}

// A loop that was held up over the drain's time, and over that for the last answers, has all that
// is held answered before it ends.
func TestHeldUpPastItsEnd(t *testing.T) {
	for _, late := range []time.Duration{3500 * time.Millisecond, 3560 * time.Millisecond, 5 * time.Second} {
		r := newRig(t)
		out, waits := r.runs("out", "unsafe"), r.arrive("waits", "unsafe", time.Hour)
		r.take(stop{r.clock()})
		r.now = r.now.Add(late)
		r.ends()
		if len(out.answers) != 1 || len(waits.answers) != 1 || out.answers[0] == 503 {
			t.Errorf("held up for %v: answers %v to one that is out, %v to one that waits", late, out.answers, waits.answers)
		}
	}
}

// The time of a stop runs from the signal, not from when the loop hears of it: SIGKILL's does.
func TestStopCountsFromTheSignal(t *testing.T) {
	r := newRig(t)
	a := r.runs("a", "unsafe")
	r.Stop()
	r.now = r.now.Add(time.Second) // the loop is held up
	r.pass(2500 * time.Millisecond)
	if len(a.answers) != 1 {
		t.Errorf("answers %v 3.5 s after the signal", a.answers)
	}
}

// What comes in the moment in which nothing is open any more has to be found before the loop ends:
// it stops the listener and looks again.
func TestOneMoreAsNothingIsOpen(t *testing.T) {
	r := newRig(t)
	r.take(stop{r.clock()})
	for n := 0; r.shut == 0 && n < 1000; n++ {
		r.pass(4 * time.Millisecond)
	}
	r.open = 1 // Accept handed it over meanwhile
	r.pass(4 * time.Millisecond)
	a := r.arrive("a", "safe", time.Hour)
	if len(a.answers) != 1 || a.answers[0] != 503 || r.Phases.Now() == Stopped || !r.Phases.Ending() {
		t.Errorf("answers %v in phase %v", a.answers, r.Phases.Now())
	}
	r.open = 0
	if took := r.ends(); took > 8*time.Millisecond {
		t.Errorf("ended %v after the last connection", took)
	}
	if r.shut != 1 {
		t.Errorf("shut %d times", r.shut)
	}
}

// door is the clients' side of a loop that runs, with something to happen when the loop looks at it.
type door struct {
	looks, taken atomic.Int64
	shut         atomic.Bool
	look         func()
}

func (d *door) Taken() int { return int(d.taken.Load()) }
func (d *door) Open() int {
	d.look()
	return 0
}
func (d *door) CloseIdle(time.Duration) {}
func (d *door) Shut()                   { d.shut.Store(true) }
func (d *door) Ended() bool {
	d.look()
	return d.shut.Load()
}

// running is a dispatcher whose own loop runs; ended is closed when it is over.
func running(t *testing.T, in *door) (d *Dispatcher, ended chan struct{}) {
	t.Helper()
	s, err := settings.Parse([]byte(options))
	if err != nil {
		t.Fatal(err)
	}
	d, err = New(Options{Settings: s, Known: []byte(known), Egress: &rig{}, Phases: &Phases{}, Log: func(string, ...any) {}, Now: time.Now,
		Watch: func(ctx context.Context, _ string, _ int64, _ func(*route.Update)) error {
			<-ctx.Done()
			return ctx.Err()
		}})
	if err != nil {
		t.Fatal(err)
	}
	ended = make(chan struct{})
	go func() {
		defer close(ended)
		d.Run(in)
	}()
	return d, ended
}

// A request that is posted between the loop's last look and its end, while it ends, or behind it,
// is answered: nobody may wait for a loop that is gone.
func TestArrivesAsTheLoopEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var d *Dispatcher
		var posted, answered atomic.Int64
		in := &door{}
		post := func(kind string) {
			n := posted.Add(1)
			d.Arrive(&ingress.Request{ID: fmt.Sprint(kind, n), Class: "safe", Arrived: time.Now(), Timeout: time.Hour,
				Answer: func(a ingress.Answer) {
					if answered.Add(1); a.Status != 503 {
						t.Errorf("%s: got %d", kind, a.Status)
					}
				}})
		}
		in.look = func() { // few, with room in the queue: this is called on the loop
			if in.looks.Add(1); in.looks.Load() == 1 || in.shut.Load() && in.looks.Load() < 100 {
				post("last look ")
			}
		}
		d, ended := running(t, in)
		synctest.Wait()
		d.Stop()
		<-ended
		post("behind the end ")
		synctest.Wait()
		if posted.Load() < 2 || answered.Load() != posted.Load() {
			t.Errorf("%d of %d requests were answered", answered.Load(), posted.Load())
		}
	})
}

// The same with many at once, at any moment of the end.
func TestManyArriveAsTheLoopEnds(t *testing.T) {
	d, ended := running(t, &door{look: func() {}})
	d.Phases.Enter(Serving)
	d.Stop()
	var all sync.WaitGroup
	var stopped atomic.Bool
	for n := range 8 {
		all.Add(1)
		go func() {
			defer all.Done()
			for i := 0; !stopped.Load() || i%10 > 0; i++ {
				answer := make(chan ingress.Answer, 1)
				d.Arrive(&ingress.Request{ID: fmt.Sprint(n, "-", i), Class: "none", Arrived: time.Now(), Timeout: 10 * time.Millisecond,
					Answer: func(a ingress.Answer) { answer <- a }})
				select {
				case <-answer:
				case <-time.After(10 * time.Second):
					t.Errorf("request %d of %d has no answer", i, n)
					return
				}
			}
		}()
	}
	<-ended
	stopped.Store(true)
	all.Wait()
}
