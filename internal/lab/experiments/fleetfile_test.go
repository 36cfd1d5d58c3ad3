package experiments

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"example.org/bellstream/internal/lab/emulator"
)

func TestParseFleetErrors(t *testing.T) {
	const worker = "worker \"w\" {\n  count = 2\n}\n"
	for text, want := range map[string]string{
		"":                                                       "f:1: worker: there is none",
		"seed = \"x\"":                                           "f:1: ",
		worker + worker:                                          "f:4: worker.name: \"w\" is there twice",
		"mean = \"0s\"\n" + worker:                               "f:1: mean: \"0s\" is not above 0",
		"mean = \"x\"\n" + worker:                                "f:1: mean: \"x\" is no duration",
		"discovery = \"x\"\n" + worker:                           "f:1: discovery: ",
		"worker \"w\" {\n  count = 2000\n}":                      "f:2: worker.count: 2000",
		"worker \"w\" {\n  slots = -1\n}":                        "f:2: worker.slots: -1",
		"worker \"w\" {\n  cold_from = 2\n}":                     "f:2: worker.cold_from: 2",
		"worker \"w\" {\n  report_delay = \"1h\"\n}":             "f:2: worker.report_delay: 1h0m0s",
		"worker \"w\" {\n  report_noise = 3\n}":                  "f:2: worker.report_noise: 3",
		worker + "fault \"rain\" {}":                             "f:4: fault.kind: \"rain\" is none of",
		worker + "fault \"silent\" {\n  workers = [\"w-05\"]\n}": "f:5: fault.workers: there is no worker \"w-05\"",
		worker + "fault \"silent\" {\n  at = \"soon\"\n}":        "f:5: fault.at: \"soon\"",
		worker + "fault \"errors\" {\n  part = 2\n}":             "f:5: fault.part: 2",
		worker + "fault \"neighbour\" {}":                        "f:4: fault.factor: missing",
		worker + "fault \"errors\" {}\nfault \"heavy_tail\" {\n  factor = \"-1\"\n}": "f:6: fault.factor: missing, or",
	} {
		if _, err := ParseFleet("f", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s\ngot error %v, want %s", text, err, want)
		}
	}
	raw, err := os.ReadFile("../../../deploy/fleet.hcl")
	if err != nil {
		t.Fatal(err)
	}
	if x, err := ParseFleet("fleet.hcl", raw); err != nil || len(x.Workers) != 2 || x.Faults[2].drain != 3*time.Second {
		t.Fatalf("fleet.hcl: got %+v, error %v; want 2 worker groups and a drain of 3s in the third fault", x, err)
	}
}

// startFleetText starts the fleet that text describes; it is closed when the test ends.
func startFleetText(t *testing.T, text string) *Fleet {
	t.Helper()
	x, err := ParseFleet("f", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	f, err := x.Start(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// postJob sends a job to a worker and returns status, body and header of the answer.
func (w *emulatedWorker) postJob(id, class, key, body string) (int, string, http.Header, error) {
	req, _ := http.NewRequest(http.MethodPost, "http://"+w.addr+"/"+class, strings.NewReader(body))
	req.Header.Set("Request-Id", id)
	req.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), resp.Header, err
}

// Checks the effects of worker faults on answers and, for deploy, the steps: the worker leaves, returns the queued
// job, loses the running one, restarts and is active again.
func TestFleetFaults(t *testing.T) {
	f := startFleetText(t, `mean = "1ms"
repeat_window = "60s"
worker "err" {}
worker "half" {}
worker "lies" { slots = 2 }
worker "dep" {
  slots     = 1
  zone      = "b"
  cold_from = 0.5
  warm_after = "9s"
}
fault "errors" { workers = ["err"] }
fault "half_answers" { workers = ["half-00"] }
fault "lying_reports" {
  workers = ["lies"]
  free    = 99
}
fault "heavy_tail" {
  workers = ["dep"]
  factor  = 100000
}
fault "deploy" {
  workers = ["dep"]
  at      = "300ms"
  drain   = "100ms"
}`)
	post := func(worker int, id, key string) (int, string, error) {
		status, text, _, err := f.workers[worker].postJob(id, "job", key, "t 0")
		return status, text, err
	}
	for i, known := range []bool{false, true, false} { // a zone answers a repeated key without another run
		if _, text, _ := post(2, fmt.Sprint("k", i), []string{"k", "k", "other"}[i]); strings.Contains(text, " known by lies-00") != known {
			t.Errorf("keyed job %d: got %s, want an answer known by lies-00 only for the repeat", i, text)
		}
	}
	if status, _, _ := post(0, "a", ""); status != 500 {
		t.Errorf("fault errors: got status %d, want 500", status)
	}
	if _, text, err := post(1, "b", ""); err == nil || strings.Contains(text, "done") {
		t.Errorf("fault half_answers: got %q, error %v, want an aborted answer", text, err)
	}
	if status, text, err := post(2, "c", ""); status != 200 || err != nil || !strings.Contains(text, `"load":{"x0":99,"waiting":0}`) {
		t.Errorf("fault lying_reports: got status %d, body %s, error %v; want 99 free slots", status, text, err)
	}
	ends := make(chan string, 2)
	for _, id := range []string{"runs", "waits"} { // both on one slot, with jobs of minutes
		go func() { _, text, _ := post(3, id, ""); ends <- text }()
	}
	first, second := <-ends, <-ends
	if !strings.Contains(first, `"state":"returned"`) || !strings.Contains(second, `"state":"lost"`) {
		t.Errorf("got first %q, then %q, want returned, then lost", first, second)
	}
	for end := time.Now().Add(10 * time.Second); !strings.Contains(f.List(), `"seq":3`); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(f.List())
		}
	}
	if l := f.List(); !strings.Contains(l, `"site":"b"`) || strings.Count(l, `"born_ms":0}`) != 3 || strings.Contains(l, "leaving") {
		t.Error(l)
	}
}

// Checks that delayed load reports show the past state and that noisy ones are off by at most the stated fraction.
func TestFleetReports(t *testing.T) {
	f := startFleetText(t, "worker \"late\" {\n  report_delay = \"1m\"\n}\nworker \"noisy\" {\n  slots = 100\n  report_noise = 0.1\n}\n")
	w := f.workers[0]
	w.update(func(float64) {}) // the report that it sends for the next minute
	w.update(func(now float64) { w.model.Submit(now, emulator.Job{ID: "x", Slots: 4, Work: 100}) })
	if got := w.loadReport(); got != `{"x0":4,"waiting":0}` {
		t.Errorf("delayed report: got %s, want 4 free slots as before the job", got)
	}
	least, most := 1000.0, 0.0
	for range 200 {
		var free, waiting float64
		fmt.Sscanf(f.workers[1].loadReport(), `{"x0":%f,"waiting":%f}`, &free, &waiting)
		least, most = min(least, free), max(most, free)
	}
	if least < 90 || least > 95 || most > 100 {
		t.Errorf("noisy reports: got from %v to %v free slots of 100, want a minimum from 90 to 95 and at most 100", least, most)
	}
}

// Checks that a job of a class with higher priority takes the slot of a running job, which resumes after it.
func TestFleetSuspends(t *testing.T) {
	f := startFleetText(t, "mean = \"300ms\"\npriorities = { dear = 1 }\nworker \"w\" {\n  slots = 1\n  suspends = true\n}\n")
	w := f.workers[0]
	w.update(func(now float64) { w.model.Submit(now, emulator.Job{ID: "cheap", Work: 1000}) }) // a long job
	if _, text, _, err := w.postJob("x", "dear", "", "t 0"); err != nil || !strings.Contains(text, `"state":"done"`) {
		t.Errorf("job of higher priority: got %s, error %v, want done", text, err)
	}
	if got := w.loadReport(); got != `{"x0":0,"waiting":0}` {
		t.Errorf("load report after it: got %s, want no free slot since the long job resumed", got)
	}
}
