package experiments

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

var waitingExperiment = Experiment{
	Name:    "waiting",
	About:   "Jobs with random parents and times at one real process; parents fail, workers go silent.",
	Without: []string{"waiting"},
	Run:     runWaiting,
}

// waitingJob is a job of the experiment and its outcome.
type waitingJob struct {
	id         string
	parents    []int
	notBefore  time.Time
	fails      bool
	sentAt     time.Time
	answeredAt time.Time
	status     int
	body       string
}

func runWaiting(p Params) (*Result, error) {
	jobs, rate := 20_000, 250.0
	if p.Quick {
		jobs = 4_000
	}
	fleet, err := NewFleet(p.Seed, 40, 4, 100*time.Millisecond)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	file := "log {\n  level = \"info\"\n}\n"
	if p.Without != "waiting" {
		file += "waiting {\n  grace = \"2s\"\n}\n"
	}
	d, err := startSingleDispatcher(p, fleet, "n0", `{"name":"job","aim":2,"aim_stretch":2,"hard_limit":20,"value":1,"late_worth":0.5,"semantics":"unsafe"}`, file)
	if err != nil {
		return nil, err
	}
	defer d.Kill()

	rng := rand.New(rand.NewPCG(p.Seed, 3))
	list := make([]waitingJob, jobs)
	for i := range list {
		w := &list[i]
		w.id, w.fails = fmt.Sprintf("%08x%08x", uint32(p.Seed), i), rng.Float64() < 0.05
		for range rng.IntN(3) {
			// Usually one of the previous hundred jobs, sometimes a later one.
			parent := i - 1 - rng.IntN(100)
			if rng.Float64() < 0.05 {
				parent = i + 1 + rng.IntN(100)
			}
			if parent >= 0 && parent < jobs && parent != i && rng.Float64() < 0.5 {
				w.parents = append(w.parents, parent)
			}
		}
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}
	defer client.CloseIdleConnections()
	var pending sync.WaitGroup
	began := time.Now()
	for k, at := range []float64{0.25, 0.5, 0.7} { // one worker after another stops responding
		time.AfterFunc(time.Duration(at*float64(jobs)/rate*float64(time.Second)), func() { fleet.Silence(3*k, 2*time.Second) })
	}
	for i := range list {
		time.Sleep(time.Until(began.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
		w := &list[i]
		if rng.Float64() < 0.2 {
			w.notBefore = time.Now().Add(time.Duration(rng.Float64() * 2 * float64(time.Second)))
		}
		pending.Add(1)
		go func() {
			defer pending.Done()
			body := "t 0"
			if w.fails {
				body += " fail"
			}
			req, _ := http.NewRequest(http.MethodPost, "http://"+d.Addr+"/job", strings.NewReader(body))
			req.Header.Set("Request-Id", w.id)
			req.Header.Set("Request-Timeout", "15")
			var after []string
			for _, k := range w.parents {
				after = append(after, list[k].id)
			}
			if len(after) > 0 {
				req.Header.Set("Wait-For", strings.Join(after, ", "))
			}
			if !w.notBefore.IsZero() {
				req.Header.Set("Not-Before", strconv.FormatFloat(float64(w.notBefore.UnixNano())/1e9, 'f', 6, 64))
			}
			w.sentAt = time.Now()
			resp, err := client.Do(req)
			w.answeredAt = time.Now()
			if err == nil {
				raw, _ := io.ReadAll(resp.Body)
				resp.Body.Close()
				w.status, w.body = resp.StatusCode, string(raw)
			}
		}()
	}
	pending.Wait()
	p.Log("all requests finished after %.1f s", time.Since(began).Seconds())

	// The workers' own records: when each job ran, and how often.
	ends, starts, runs := map[string]time.Time{}, map[string]time.Time{}, map[string]int{}
	for _, j := range fleet.Jobs() {
		if !j.Started.IsZero() {
			runs[j.ID]++
			starts[j.ID] = j.Started
		}
		if !j.Done.IsZero() && !j.Failed {
			ends[j.ID] = j.Done
		}
	}
	var unanswered, early, unmetParents, twice, ran, slow, checked float64
	var worst time.Duration
	count := map[int]int{}
	for i := range list {
		w := &list[i]
		count[w.status]++
		if w.status == 0 {
			unanswered++
		}
		if runs[w.id] > 1 {
			twice++
		}
		start, started := starts[w.id]
		if started {
			ran++
			if start.Before(w.notBefore) {
				early++
			}
			for _, k := range w.parents {
				if end, ok := ends[list[k].id]; !ok || end.After(start) {
					unmetParents++
				}
			}
		}
		if w.status == http.StatusFailedDependency { // time from the end of the parent that the answer names
			_, rest, _ := strings.Cut(w.body, "job ")
			name, _, _ := strings.Cut(rest, ",")
			for k := max(0, i-2000); k < min(jobs, i+200); k++ {
				if list[k].id == name {
					since := list[k].answeredAt
					if since.Before(w.sentAt) {
						since = w.sentAt
					}
					checked++
					took := w.answeredAt.Sub(since)
					worst = max(worst, took)
					if took > 100*time.Millisecond {
						slow++
					}
				}
			}
		}
	}
	r := &Result{Size: fmt.Sprintf("%d jobs at %.0f a second, 40 workers of 4 slots, 5%% fail, 3 silences of 2 s", jobs, rate)}
	r.AtMost("jobs without a final answer", 0, unanswered, "jobs")
	r.AtMost("jobs that a worker started before what they wait for was served", 0, unmetParents, "jobs")
	r.AtMost("jobs that a worker started before their time", 0, early, "jobs")
	r.AtMost("unsafe jobs that ran twice", 0, twice, "jobs")
	r.AtMost("cascades slower than 100 ms from the end to the answer", 0, slow, "jobs")
	r.AtLeast("cascades that were looked at", 1, checked, "jobs")
	r.AtLeast("jobs that ran (so that the rest means something)", float64(jobs)/4, ran, "jobs")
	for k := 0; k < jobs; k += int(5 * rate) { // outcomes of the jobs of each five seconds
		n := map[int]int{}
		for i := k; i < min(jobs, k+int(5*rate)); i++ {
			n[list[i].status]++
		}
		p.Log("%3.0f s: answers %v", float64(k)/rate, n)
	}
	reasons := map[string]int{}
	for i := range list {
		if w := &list[i]; w.status != http.StatusOK {
			_, why, _ := strings.Cut(w.body, ",")
			reasons[fmt.Sprint(w.status, why)]++
		}
	}
	for why, n := range reasons {
		p.Log("%d answers %s", n, strings.TrimSpace(why))
	}
	r.Note("slowest cascade", math.Round(worst.Seconds()*1e4)/10, "ms")
	for _, status := range []int{200, 400, 424, 502, 503, 504} {
		r.Note(fmt.Sprintf("answers %d", status), float64(count[status]), "jobs")
	}
	return r, nil
}
