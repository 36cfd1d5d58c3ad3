package dispatcher

import (
	"strings"
	"testing"
	"time"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/egress"
	"example.org/bellstream/internal/route"
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

// While a hop waits for its connection discovery tells of its worker. What was decided for the worker as
// it stood is not written to it any more: the job never ran, and goes elsewhere.
func TestListChangesUnderAHop(t *testing.T) {
	for _, c := range []struct {
		name, hosts string
		bars        bool
	}{
		{"the same again", `"whole":true,"hosts":[{"host":"a","dial":"1:1","site":"z","class":"k","health":"active"},{"host":"b","dial":"1:2","site":"z","class":"k","health":"active"}]`, false},
		{"the others change", `"hosts":[{"host":"c","dial":"1:3","site":"z","class":"k","health":"active"}]`, false},
		{"it drains", `"hosts":[{"host":"W","dial":"A","site":"z","class":"k","health":"leaving"}]`, true},
		{"it has left", `"hosts":[{"host":"W","health":"left"}]`, true},
		{"it is not named any more", `"whole":true,"hosts":[{"host":"c","dial":"1:3","site":"z","class":"k","health":"active"}]`, true},
		{"it is elsewhere", `"hosts":[{"host":"W","dial":"1:9","site":"z","class":"k","health":"active"}]`, true},
		{"another process is there", `"hosts":[{"host":"W","dial":"A","site":"z","class":"k","health":"active","born_ms":1000000000000}]`, true},
	} {
		r := newRig(t)
		j := r.runs("1", "unsafe")
		o := r.orders[0]
		worker, other := "a", "b"
		if r.addrs[0] == "1:2" {
			worker, other = other, worker
		}
		u, err := route.Parse([]byte(`{"seq":2,` + strings.NewReplacer(`"W"`, `"`+worker+`"`, `"A"`, `"`+r.addrs[0]+`"`).Replace(c.hosts) + `}`))
		if err != nil {
			t.Fatal(err)
		}
		r.take(routeNews{watch: r.watchNo, up: u})
		end := o.Barred()
		if want := map[bool]balance.Outcome{true: balance.Barred}[c.bars]; end != want {
			t.Errorf("%s: barred as %q, want %q", c.name, end, want)
		}
		if end == "" {
			continue
		}
		j.out.end(false)
		r.take(hopNews{r.held["1"], 0, worker, egress.News{Outcome: end}})
		for range 5 {
			r.pass(20 * time.Millisecond)
			for _, tell := range r.probes {
				tell(egress.News{Outcome: balance.Served, Report: []float64{3}})
			}
			r.probes = nil
		}
		if len(r.orders) != 2 || r.orders[1].Barred() != "" || len(j.answers) > 0 {
			t.Errorf("%s: %d attempts, answers %v", c.name, len(r.orders), j.answers)
		}
	}
}

// A repeat of a keyed job counts when it is at its worker, and the window begins when the first attempt
// that may have run was: one that waits for its connection meanwhile is out by the end of that window, or not at all.
func TestKeyedRepeatIsOutWithinTheWindow(t *testing.T) {
	for _, c := range []struct {
		class, first string
		window       bool
	}{{"keyed", "broken", true}, {"keyed", "stale", true}, {"keyed", "full", false}, {"keyed", "unreachable", false}, {"safe", "broken", false}} {
		r := newRig(t)
		j := r.runs("1", c.class)
		decided := r.last
		if first := r.orders[0]; !first.Until.Equal(first.Deadline) || first.Once != (c.class != "safe") {
			t.Errorf("%v: the first attempt has until %v, once %v", c, first.Until, first.Once)
		}
		r.take(hopNews{r.held["1"], 0, "", egress.News{}})
		r.pass(100 * time.Millisecond)
		j.out.end(c.first != "full" && c.first != "unreachable")
		r.take(hopNews{r.held["1"], 0, "", egress.News{Outcome: balance.Outcome(c.first)}})
		for len(r.orders) == 1 && r.now.Before(j.sent.Add(5*time.Second)) {
			r.pass(20 * time.Millisecond)
			for _, tell := range r.probes {
				tell(egress.News{Outcome: balance.Served, Report: []float64{3}})
			}
			r.probes = nil
		}
		if len(r.orders) != 2 {
			t.Fatalf("%v: %d attempts, answers %v", c, len(r.orders), j.answers)
		}
		want := r.orders[1].Deadline
		if c.window {
			want = r.time(decided + 9)
		}
		if got := r.orders[1].Until; got.Sub(want).Abs() > time.Microsecond {
			t.Errorf("%v: out by %v after the first, want %v", c, got.Sub(r.time(decided)), want.Sub(r.time(decided)))
		}
	}
}
