package dispatcher

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/upstream"
)

// fakeSharedIDs stands for another process.
type fakeSharedIDs struct {
	published []string
	unread    []string // of the other process; those sent have a "!" in front
	onSend    string   // becomes unread when this process publishes that it sends
}

func (f *fakeSharedIDs) Retain(time.Duration) {}

func (f *fakeSharedIDs) PublishAccepted(id string) { f.published = append(f.published, id) }

func (f *fakeSharedIDs) PublishSent(id string) {
	f.published = append(f.published, "!"+id)
	if f.onSend != "" {
		f.unread = append(f.unread, f.onSend)
	}
}

func (f *fakeSharedIDs) ReadNew(each func(id string, isSent bool)) {
	for _, id := range f.unread {
		if id[0] == '!' {
			each(id[1:], true)
		} else {
			each(id, false)
		}
	}
	f.unread = nil
}

// acceptJobs makes the workers accept jobs, and lets the scheduler decide.
func (r *rig) acceptJobs() {
	r.advance(20 * time.Millisecond)
	for _, notify := range r.healthChecks {
		notify(upstream.AttemptEvent{Outcome: balance.Served, Report: []float64{3}})
	}
	r.healthChecks = nil
	r.advance(8 * time.Millisecond)
}

// A request whose id another process has accepted is rejected, and one that waits here is not sent after another
// process has sent a request with its id: a job must not run at the workers of both.
func TestIDsOfAnotherProcess(t *testing.T) {
	for _, c := range []struct {
		name         string
		before, late string // what the other process publishes before the request arrives, and while it waits
		onSend       string // what it publishes just before the request is sent
		class        string
		answers      []int
		attempts     int
	}{
		{name: "unrelated", before: "x", late: "!y", class: "unsafe", attempts: 1},
		{name: "accepted", before: "a", class: "unsafe", answers: []int{409}},
		{name: "sent", before: "!a", class: "unsafe", answers: []int{409}},
		{name: "safe", before: "a", class: "safe", answers: []int{409}},
		{name: "sent while it waits", late: "!a", class: "unsafe", answers: []int{409}},
		{name: "accepted while it waits", late: "a", class: "unsafe", attempts: 1},
		{name: "sent at the same time", onSend: "!a", class: "unsafe", answers: []int{409}},
		{name: "keyed, sent at the same time", onSend: "!a", class: "keyed", answers: []int{409}},
	} {
		r := newRigWith(t, settingsJSON, 1)
		shared := &fakeSharedIDs{}
		r.ShareIDs(shared)
		if c.before != "" {
			shared.unread = []string{c.before}
		}
		shared.onSend = c.onSend
		j := r.arrive("a", c.class, time.Second)
		if c.late != "" {
			shared.unread = []string{c.late}
		}
		r.Notify()
		r.applyCommands()
		r.acceptJobs()
		if !slices.Equal(j.answers, c.answers) || len(r.attempts) != c.attempts {
			t.Errorf("%s: answers %v and %d attempts, want %v and %d", c.name, j.answers, len(r.attempts), c.answers, c.attempts)
		}
		if len(shared.published) == 0 && c.before != "!a" {
			t.Errorf("%s: the id was not published", c.name)
		}
	}
}

// The id of a job that was sent to a worker is rejected within the retention time, although its client has left and
// however many other ids were used since: the job must not run a second time.
func TestIDsOfSentJobsAreKept(t *testing.T) {
	for _, class := range []string{"unsafe", "keyed", "safe"} {
		r := newRigWith(t, settingsJSON, 1)
		r.startJob("a", class)
		left := r.jobs[0]
		left.req.MarkDisconnected()
		left.disconnected = true
		r.handle(clientDisconnected{left.req})
		r.advance(time.Second)
		now := r.clock()
		for n := range 5 * maxRecentIDs {
			r.recentIDs.add(fmt.Sprint("other-", n), now)
		}
		if again := r.arrive("a", class, time.Second); !slices.Equal(again.answers, []int{409}) {
			t.Errorf("%s: the id of a job that may still run got answers %v, want 409", class, again.answers)
		}
	}
}

// While as many ids were sent as can be remembered, jobs that must not run twice are rejected unsent, others are
// served, and no id is forgotten.
func TestLimitOfSentIDs(t *testing.T) {
	r := newRigWith(t, settingsJSON, 1)
	r.recentIDs.sent.limit = 4
	now := r.clock()
	for n := range 4 {
		r.recentIDs.addSent(fmt.Sprint("sent-", n), true, now)
	}
	if j := r.arrive("u", "unsafe", time.Second); !slices.Equal(j.answers, []int{503}) {
		t.Errorf("a job beyond the limit got answers %v, want 503", j.answers)
	}
	if j := r.startJob("s", "safe"); len(j.answers) > 0 {
		t.Errorf("a safe job beyond the limit got answers %v", j.answers)
	}
	if j := r.arrive("sent-0", "safe", time.Second); !slices.Equal(j.answers, []int{409}) {
		t.Errorf("an id that was sent got answers %v, want 409", j.answers)
	}
	r.advance(4 * time.Second) // longer than the retention
	if j := r.arrive("v", "unsafe", time.Second); len(j.answers) > 0 {
		t.Errorf("a job after the retention time got answers %v", j.answers)
	}
}
