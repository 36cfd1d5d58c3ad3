package experiments

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"example.org/bellstream/internal/lab/emulator"
	"example.org/bellstream/internal/lab/loadgen"
)

// A result holds only if it has claims and all of them hold. A claim whose value is NaN does not hold.
func TestClaims(t *testing.T) {
	e := Experiment{Name: "x", Without: []string{"y"}, Run: func(Params) (*Result, error) {
		r := &Result{Size: "small"}
		r.AtMost("fine", 2, 1, "s")
		r.AtLeast("not a figure", 0, math.NaN(), "s")
		return r, nil
	}}
	r, err := e.Play(Params{Seed: 5})
	if err != nil || r.Held || !r.Claims[0].Held || r.Claims[1].Held {
		t.Errorf("got result %+v, error %v, want only the first claim to hold", r, err)
	}
	e.Run = func(Params) (*Result, error) { return &Result{}, nil }
	if r, _ := e.Play(Params{}); r.Held {
		t.Error("a result without claims holds")
	}
	if _, err := e.Play(Params{Without: "z"}); err == nil {
		t.Error("run without an unknown mechanism: got no error")
	}
	var out bytes.Buffer
	r = &Result{Experiment: "x", Seed: 5}
	r.AtMost("c", 2, 1, "s")
	r.Print(&out, true)
	var back map[string]any
	if err := json.Unmarshal(out.Bytes(), &back); err != nil || back["experiment"] != "x" || back["claims"] == nil {
		t.Errorf("got JSON %s, error %v, want keys experiment and claims", out.String(), err)
	}
}

// The ideal rates add up to the total, are at least the reservations, and the lone tenant's rate is at most what
// it asks for.
func TestIdeal(t *testing.T) {
	for _, done := range []float64{140, 165, 200, 400} {
		got, all := idealRates(done), 0.0
		for _, x := range countsTenants {
			all += got[x]
			if got[x] < countsQuotas[x]-1e-6 {
				t.Errorf("total %v: tenant %s gets %v, less than its reservation %v", done, x, got[x], countsQuotas[x])
			}
		}
		if math.Abs(all-done) > 1e-6 || got[countsLoneTenant] > 1.2*countsQuotas[countsLoneTenant]+1e-6 {
			t.Errorf("total %v: got rates %v, want their sum to be the total and the lone tenant within its demand", done, got)
		}
	}
}

// The relay delivers, loses or repeats datagrams as its link says, and cuts only the pairs that a rule names.
func TestRelay(t *testing.T) {
	target, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	sender, err := net.ListenUDP("udp", &net.UDPAddr{IP: IP(3)})
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	count := func(r *Relay, n int) (got int) {
		t.Helper()
		door, err := r.Forward(Anyone, 0, target.LocalAddr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer r.Close()
		to, _ := net.ResolveUDPAddr("udp", door)
		sender.WriteToUDP([]byte("x"), to)
		buf := make([]byte, 9)
		for i := range n + 1 {
			wait := 5 * time.Second
			if i == n { // no further datagram may arrive
				wait = 200 * time.Millisecond
			}
			target.SetReadDeadline(time.Now().Add(wait))
			if _, _, err := target.ReadFromUDP(buf); err != nil {
				return got
			}
			got++
		}
		return got
	}
	cut, other := NewRelay(1, Link{}), NewRelay(1, Link{})
	cut.AddFault(func(from, to int) bool { return from == 3 && to == 0 }, Link{Cut: true})
	other.AddFault(func(from, to int) bool { return from == 4 }, Link{Cut: true})
	for name, c := range map[string]struct {
		r    *Relay
		want int
	}{"passes": {NewRelay(1, Link{Jitter: time.Millisecond}), 1}, "loses": {NewRelay(1, Link{Loss: 1}), 0},
		"repeats": {NewRelay(1, Link{Repeat: 1}), 2}, "cut": {cut, 0}, "another is cut": {other, 1}} {
		if got := count(c.r, c.want); got != c.want {
			t.Errorf("%s: got %d datagrams, want %d", name, got, c.want)
		}
	}
}

// A worker of the fleet follows the protocol: it reports starts, ends, failures and its load, refuses jobs when its
// queue is full, and records each job that it takes.
func TestFleet(t *testing.T) {
	f, err := NewFleet(1, 1, 1, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	post := func(id, body string) (int, string, http.Header) {
		status, text, h, err := f.workers[0].postJob(id, "job", "", body)
		if err != nil {
			t.Fatal(err)
		}
		return status, text, h
	}
	if status, text, _ := post("a", "north 2"); status != 200 || !strings.Contains(text, `"state":"started"`) ||
		!strings.Contains(text, `"state":"done","result":"a by w-00, try 0","load":{"x0":1,"waiting":0}`) {
		t.Errorf("job a: got status %d, body %s, want it started and done", status, text)
	}
	if _, text, _ := post("b", "north 2 fail"); !strings.Contains(text, `"state":"failed"`) {
		t.Error(text)
	}
	f.workers[0].update(func(now float64) { // its slot and its queue are full
		for i := range 3 {
			f.workers[0].model.Advance(now)
			f.workers[0].model.Submit(now, emulator.Job{ID: fmt.Sprint(i), Work: 100})
		}
	})
	if status, _, h := post("c", "x 0"); status != 503 || h.Get("Not-Started") != "1" || h.Get("Server-Load") == "" {
		t.Errorf("full queue: got status %d, header %v, want 503 with Not-Started and Server-Load", status, h)
	}
	jobs := f.Jobs()
	if len(jobs) != 2 || jobs[0].Tenant != "north" || jobs[0].Entry != "2" || jobs[0].Done.IsZero() || jobs[0].Failed || !jobs[1].Failed || f.JobsByTenant()["north"] != 2 {
		t.Errorf("got records %+v, want job a done and job b failed, both of tenant north", jobs)
	}
	resp, err := http.Get("http://" + f.Discovery() + "/v1/servers")
	if err != nil {
		t.Fatal(err)
	}
	raw, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	if !strings.Contains(string(raw), `"host":"w-00"`) {
		t.Errorf("got discovery answer %s, want host w-00", raw)
	}
}

// A process that ends by itself makes the result void, even if all claims hold.
func TestDeadProcessIsVoid(t *testing.T) {
	e := Experiment{Name: "x", Run: func(p Params) (*Result, error) {
		d := &Dispatcher{Name: "n0", cmd: exec.Command(os.Args[0], "-test.run=^$"), ended: make(chan error, 1)}
		*p.processes = append(*p.processes, d)
		if err := d.cmd.Start(); err != nil {
			return nil, err
		}
		err := d.cmd.Wait() // not by Kill
		d.ended <- err
		d.Kill()
		r := &Result{}
		r.AtMost("all is well", 1, 0, "")
		return r, nil
	}}
	r, err := e.Play(Params{Out: t.TempDir()})
	if err != nil || r.Held || !strings.Contains(r.Void, "n0 ended") {
		t.Errorf("got result %+v, error %v, want it void because of n0", r, err)
	}
	var b bytes.Buffer
	r.Print(&b, false)
	if !strings.Contains(b.String(), "VOID: process n0") {
		t.Error(b.String())
	}
	if r := e.InterruptedResult(3); r.Held || r.Void == "" || r.Seed != 3 {
		t.Errorf("interrupted: got result %+v, want it void with seed 3", r)
	}
}

// The load report is void if the tool cannot keep up with its rate or is interrupted.
func TestLoadIsVoid(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { time.Sleep(20 * time.Millisecond) })}
	go server.Serve(l)
	defer server.Close()
	o := LoadOptions{Targets: []string{l.Addr().String()}, Settings: loadgen.Settings{Rate: 1e6, Shape: loadgen.Even, Span: 1, MaxJobs: 3000,
		Classes: []loadgen.Class{{WeightedName: loadgen.WeightedName{Name: "a", Weight: 1}, ClientTimeout: 60}}, Tenants: []loadgen.WeightedName{{Name: "t", Weight: 1}}}}
	r, err := RunLoad(context.Background(), o)
	if err != nil || !strings.Contains(r.Void, "late") || r.Jobs != 3000 || r.Status["200"] != 3000 {
		t.Errorf("got report %+v, error %v, want 3000 jobs served and the tool late", r, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	if r, err = RunLoad(ctx, o); err != nil || !strings.Contains(r.Void, "ended") {
		t.Errorf("interrupted: got report %+v, error %v, want it void", r, err)
	}
}
