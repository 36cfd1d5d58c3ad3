package dispatcher

import (
	"testing"
	"time"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/egress"
)

// A client's leaving stands in the loop's queue, behind what has the module send: no attempt begins, the
// first or a further one, and a hop that waits for its connection writes nothing.
func TestLeaveBehindADecision(t *testing.T) {
	r := newRig(t)
	first := r.arrive("first", "safe", time.Hour)
	r.pass(20 * time.Millisecond)
	first.req.Leave()
	for _, tell := range r.probes {
		tell(egress.News{Outcome: balance.Served, Report: []float64{3}})
	}
	r.probes = nil
	r.pass(20 * time.Millisecond) // Start fails the test if it is sent
	if r.held["first"] != nil || len(first.answers) > 0 {
		t.Errorf("held on: %v, answers %v", r.held["first"] != nil, first.answers)
	}
	r.take(left{first.req})

	further := r.runs("further", "safe")
	barred := r.orders[len(r.orders)-1].Barred
	if end := barred(); end != "" {
		t.Errorf("barred as %q with its client there", end)
	}
	further.req.Leave()
	if end := barred(); end != balance.Barred {
		t.Errorf("barred as %q behind its client", end)
	}
	further.out.end(false)
	r.take(hopNews{r.held["further"], 0, "a", egress.News{Outcome: balance.Barred}})
	r.pass(100 * time.Millisecond)
	r.take(left{further.req})
	r.pass(time.Second)
	if len(r.held) > 0 || r.counted.net != 0 {
		t.Errorf("%d held, %v slots counted", len(r.held), r.counted.net)
	}
}
