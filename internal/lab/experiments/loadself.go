package experiments

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"example.org/bellstream/internal/lab/loadgen"
)

var loadExperiment = Experiment{
	Name:    "load",
	About:   "The load tool itself against a trivial server: is it fast enough, and in time? Does a slow server slow it?",
	Without: []string{"open-loop"},
	Run:     runLoadToolCheck,
}

const (
	loadRate    = 6000.0                 // requests per second that the tool is set to
	loadMinRate = 5000.0                 // requests per second that are claimed
	loadStall   = 300 * time.Millisecond // how long the server answers nothing

	loadStallRate = 1000.0 // requests per second of the run with the stall
)

func runLoadToolCheck(p Params) (*Result, error) {
	span := 30.0
	if p.Quick {
		span = 8
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	var stallStart atomic.Int64 // Unix ns; requests that arrive in the stall wait for its end
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if remaining := time.Until(time.Unix(0, stallStart.Load()).Add(loadStall)); remaining > 0 && remaining < loadStall {
			time.Sleep(remaining)
		}
	})}
	go server.Serve(l)
	defer server.Close()
	closed := 0
	if p.Without == "open-loop" {
		closed = 16
	}
	run := func(rate, span float64) (*LoadReport, error) {
		return RunLoad(context.Background(), LoadOptions{ClosedLoopClients: closed, Targets: []string{l.Addr().String()}, Settings: loadgen.Settings{Seed: p.Seed, Rate: rate, Shape: loadgen.Poisson,
			Span: span, Classes: []loadgen.Class{{WeightedName: loadgen.WeightedName{Name: "job", Weight: 1}, ClientTimeout: 5}}, Tenants: []loadgen.WeightedName{{Name: "t", Weight: 1}}}})
	}
	steady, err := run(loadRate, span)
	if err != nil {
		return nil, err
	}
	stallStart.Store(time.Now().Add(2 * time.Second).UnixNano())
	stalled, err := run(loadStallRate, 4)
	if err != nil {
		return nil, err
	}
	r := &Result{Size: fmt.Sprintf("%.0f questions a second for %.0f s; then %.0f for 4 s, with a stall of %v", loadRate, span, loadStallRate, loadStall)}
	r.AtLeast("questions a second", loadMinRate, float64(steady.Asked)/steady.Seconds, "1/s")
	r.AtMost("the tool's own lateness at the 99th percentile", 1, steady.ToolLate.P99, "ms")
	// A thirteenth of the requests arrives during the stall, and half of those wait for at least half of it. A
	// closed loop would see only one slow answer per connection.
	r.AtLeast("the stall shows: the slowest hundredth took at least half of it", loadStall.Seconds()*500, stalled.Classes["job"].P99, "ms")
	r.AtMost("questions without an answer", 0, float64(steady.Jobs-steady.Status["200"]+stalled.Jobs-stalled.Status["200"]), "jobs")
	r.Note("lateness, worst", steady.ToolLate.Max, "ms")
	r.Note("answer, median", steady.Classes["job"].P50, "ms")
	return r, nil
}
