package statedir

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// readAll reads until there is nothing more.
func readAll(m *Membership) (ids []string) {
	for {
		found := m.ReadJobIDs()
		if len(found) == 0 {
			return ids
		}
		ids = append(ids, found...)
	}
}

// Two processes that publish an ID before they read never both take it, also while one of them joins.
func TestIDIsNotTakenTwice(t *testing.T) {
	const rounds, ids = 20, 100
	for range rounds {
		r := newTestDirectory(t)
		r.join().PublishJobIDs([]string{"earlier"})
		taken := make([]map[string]bool, 2)
		var wg sync.WaitGroup
		for n := range taken {
			taken[n] = map[string]bool{}
			wg.Go(func() {
				m, err := Join(r.path, func(string, ...any) {})
				if err != nil {
					t.Error(err)
					return
				}
				defer m.Leave()
				known := map[string]bool{}
				for i := range ids {
					id := fmt.Sprint(i)
					if known[id] {
						continue
					}
					m.PublishJobIDs([]string{id})
					for _, other := range readAll(m) {
						known[other] = true
					}
					if !known[id] {
						taken[n][id] = true
					}
				}
				if !known["earlier"] {
					t.Error("an ID that was published before is not known")
				}
			})
		}
		wg.Wait()
		for id := range taken[0] {
			if taken[1][id] {
				t.Fatalf("ID %s was taken by both processes", id)
			}
		}
	}
}

// The IDs of processes that have ended are known to those that run and to those that start later, each time.
func TestJobIDsOfEndedProcesses(t *testing.T) {
	r := newTestDirectory(t)
	a, b := r.join(), r.join()
	a.PublishJobIDs([]string{"left"})
	readAll(b)
	a.PublishJobIDs([]string{"last"})
	a.Leave()
	refresh(b)
	if got := readAll(b); !slices.Equal(got, []string{"last"}) {
		t.Errorf("after the first process has left, the second one reads %q", got)
	}
	c := r.join()
	if got := readAll(c); !slices.Equal(got, []string{"left", "last"}) {
		t.Errorf("a third process reads %q", got)
	}
	b.stateFile.Close() // as if it was killed
	b.stateFile = nil
	c.stateFile.Close()
	c.stateFile = nil
	if got := readAll(r.join()); !slices.Contains(got, "left") || !slices.Contains(got, "last") {
		t.Errorf("a process that starts after all others were killed reads %q", got)
	}
}

// A process that knows no IDs is distinguished from one that has not published them yet.
func TestAwaitsJobIDs(t *testing.T) {
	r := newTestDirectory(t)
	a, b := r.join(), r.join()
	if !refresh(b).AwaitsJobIDs {
		t.Error("the earlier process has published nothing, and is not waited for")
	}
	if refresh(a).AwaitsJobIDs {
		t.Error("the earlier process waits for the later one")
	}
	a.AnnounceJobIDs()
	if got := readAll(b); refresh(b).AwaitsJobIDs || len(got) > 0 {
		t.Errorf("the earlier process has announced that it has no IDs, got %q", got)
	}
}

// The file of a process that runs for long doesn't grow without bound, and IDs of the retention time stay in it.
func TestJobIDFileIsCompacted(t *testing.T) {
	r := newTestDirectory(t)
	m := r.join()
	m.RetainJobIDs(time.Hour)
	published := 0
	publish := func(n int) {
		for range n {
			m.PublishJobIDs([]string{fmt.Sprintf("%064d", published)})
			published++
		}
	}
	const batch = 2 * compactJobIDBytes / 65
	for range 10 {
		publish(batch)
		m.jobIDs.markedAt = time.Now().Add(-2 * time.Hour)
	}
	info, err := os.Stat(m.jobIDPath(m.id))
	if err != nil || info.Size() > 3*65*batch {
		t.Errorf("error %v, or a file of %d bytes for %d IDs within the retention", err, info.Size(), 2*batch)
	}
	got := readAll(r.join())
	if len(got) < batch || got[len(got)-1] != fmt.Sprintf("%064d", published-1) || strings.Contains(got[0], "\n") {
		t.Errorf("a process that joins reads %d IDs, want the last %d at least", len(got), batch)
	}
	publish(1)
	if info, _ := os.Stat(m.jobIDPath(m.id)); m.jobIDs.size != info.Size() {
		t.Errorf("the file has %d bytes, %d are known", info.Size(), m.jobIDs.size)
	}
}
