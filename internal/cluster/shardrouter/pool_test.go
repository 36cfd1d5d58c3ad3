package shardrouter

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/shard"
)

// dispatcherLoop is a dispatcher's loop with a Router that runs its own goroutines.
type dispatcherLoop struct {
	r      *Router
	events chan balance.Event
	frames chan [2]any
	done   chan struct{}
}

// TestWorkerPool runs three instances with all their goroutines, which serve 1,000 jobs while shards are
// transferred. It checks that each job gets one answer, no data race or violation of the lock order occurs, and no
// job or grant stays open.
func TestWorkerPool(t *testing.T) {
	multipleGoroutines.Store(true)
	defer multipleGoroutines.Store(false)
	synctest.Test(t, func(t *testing.T) {
		var table atomic.Pointer[config.Table]
		table.Store(&config.Table{Version: 1})
		var proposing sync.Mutex
		base := time.Now()
		loops := map[string]*dispatcherLoop{}
		var goroutines sync.WaitGroup
		propose := func(list []shard.OwnerChange) {
			proposing.Lock()
			defer proposing.Unlock()
			old, next := table.Load(), *table.Load()
			next.Version, next.ShardOwners = next.Version+1, append([]config.ShardOwner(nil), next.ShardOwners...)
			for _, c := range list {
				if x := &next.ShardOwners[c.Shard]; x.Epoch == c.Epoch {
					*x = config.ShardOwner{Name: c.To, Epoch: c.Epoch + 1}
				}
			}
			table.Store(config.Intersection(old, &next))
			time.Sleep(200 * time.Millisecond) // until all instances have applied it
			table.Store(&next)
		}
		var mu sync.Mutex
		answers, inFlight := map[string]int{}, map[string]int{}
		for i, name := range []string{"a", "b", "c"} {
			l := &dispatcherLoop{events: make(chan balance.Event, 4096), frames: make(chan [2]any, 4096), done: make(chan struct{})}
			loops[name] = l
			bal, _ := balance.New(testConfig(), uint64(i))
			l.r = New(Options{Name: name, Incarnation: 1, Config: testConfig(), Table: table.Load, Now: func() float64 { return 1000 + time.Since(base).Seconds() },
				Wake: func() { l.events <- balance.TimerFired{} },
				Send: func(to string, f []byte) bool {
					select {
					case loops[to].frames <- [2]any{name, f}:
						return true
					default:
						return false
					}
				},
				Propose: propose, Limits: shard.Limits{MaxJobs: 1000}, Workers: 3, Log: t.Logf}, bal)
		}
		for _, l := range loops {
			goroutines.Go(func() {
				for {
					select {
					case f := <-l.frames:
						l.r.Receive(f[0].(string), f[1].([]byte))
					case <-l.done:
						return
					}
				}
			})
			goroutines.Go(func() {
				events := []balance.Event{balance.EndpointUpdate{Kind: balance.EndpointsSnapshot, Workers: []balance.WorkerInfo{{ID: "v", State: balance.Running}, {ID: "w", State: balance.Running}}}}
				timer := time.NewTimer(time.Second)
				for {
					for _, a := range l.r.Step(l.r.Now(), events) {
						switch a := a.(type) {
						case balance.Send:
							mu.Lock()
							if inFlight[a.ID]++; inFlight[a.ID] > 1 {
								t.Errorf("job %s has two attempts in flight", a.ID)
							}
							mu.Unlock()
							time.AfterFunc(20*time.Millisecond, func() {
								mu.Lock()
								inFlight[a.ID]--
								answers[a.ID]++
								mu.Unlock()
								l.events <- balance.AttemptDone{ID: a.ID, Worker: a.Worker, Outcome: balance.Served, Report: []float64{20}}
							})
						case balance.Reject:
							mu.Lock()
							answers[a.ID]++
							mu.Unlock()
						case balance.Fail:
							t.Errorf("job %s failed", a.ID)
						case balance.HealthCheck:
							l.events <- balance.HealthCheckDone{Worker: a.Worker, Outcome: balance.Served, Report: []float64{20}}
						case balance.SetTimer:
							timer.Reset(time.Duration(a.After * float64(time.Second)))
						}
					}
					select {
					case e := <-l.events:
						events = []balance.Event{e}
					case <-timer.C:
						events = []balance.Event{balance.TimerFired{}}
					case <-l.done:
						return
					}
				}
			})
		}
		time.Sleep(time.Second)
		initial := config.Table{Version: 2, ShardOwners: make([]config.ShardOwner, 8)}
		table.Store(&initial)
		for i := range 8 {
			propose([]shard.OwnerChange{{Shard: i, To: []string{"a", "b", "c"}[i%3]}})
		}
		transfers := 0
		for i := range 1000 {
			name := []string{"a", "b", "c"}[i%3]
			loops[name].events <- balance.JobArrived{ID: fmt.Sprint("j", i), Class: "read", Tenant: fmt.Sprint("t", i%16), Timeout: 30, Slots: 1}
			if i%100 == 50 {
				if loops[table.Load().ShardOwners[i/100%8].Name].r.Transfer(i/100%8, name) == nil {
					transfers++
				}
			}
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(40 * time.Second)
		openJobs := 0
		for _, l := range loops {
			s := l.r.Status()
			openJobs += s.LocalJobs + s.PendingGrants
			close(l.done)
		}
		goroutines.Wait()
		for _, l := range loops {
			l.r.Close()
		}
		snapshots := 0
		for _, l := range loops {
			snapshots += int(l.r.Status().Counters[countOpenedWithSnapshot])
		}
		for id, n := range answers {
			if n != 1 {
				t.Errorf("job %s has %d answers, want 1", id, n)
			}
		}
		if len(answers) != 1000 || openJobs > 0 || transfers < 3 || snapshots < 3 {
			t.Errorf("%d of 1000 jobs answered; %d jobs and grants open, want 0; %d transfers and %d owners opened with a snapshot, want at least 3 each", len(answers), openJobs, transfers, snapshots)
		}
	})
}
