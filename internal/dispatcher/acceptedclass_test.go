package dispatcher

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/settings"
)

const (
	unsafeLane = `{"name":"unsafe","aim":0.5,"hard_limit":3,"semantics":"unsafe","value":1},`
	safeLane   = `"semantics":"safe"`
)

// parseSettings returns the rig's settings with replacements.
func parseSettings(t *testing.T, oldnew ...string) *settings.Settings {
	t.Helper()
	s, err := settings.Parse([]byte(strings.NewReplacer(oldnew...).Replace(settingsJSON)))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// attemptsUntilAnswer lets a job's attempts break until it is answered, and returns their number with those that the
// scheduler cancelled.
func (r *rig) attemptsUntilAnswer(j *jobModel) int {
	r.t.Helper()
	for range 200 {
		if j.inFlight != nil {
			r.finishJob(j, balance.ConnectionLost)
		}
		if len(j.answers) > 0 {
			return j.attempts
		}
		r.advance(20 * time.Millisecond)
		r.reportFreeSlots(1e6)
	}
	r.t.Fatalf("%s: no answer", j.req.ID)
	return 0
}

// A job that waits for a time or for another job must be retried by the class with which it was accepted, however a
// reload changes that class meanwhile, even in the turn in which the job is released.
func TestDeferredJobKeepsItsClass(t *testing.T) {
	for name, c := range map[string]struct {
		class    string
		reloads  []*settings.Settings
		attempts int // of 3, when each breaks
	}{
		"unsafe becomes keyed": {"unsafe", []*settings.Settings{
			parseSettings(t, `"unsafe","value"`, `"keyed","dedup_scope":"all","repeat_window":9,"value"`)}, 1},
		"unsafe becomes safe": {"unsafe", []*settings.Settings{parseSettings(t, `"semantics":"unsafe"`, safeLane)}, 1},
		"unsafe vanishes and comes back safe": {"unsafe", []*settings.Settings{
			parseSettings(t, unsafeLane, ""), parseSettings(t, `"semantics":"unsafe"`, safeLane)}, 1},
		"unsafe vanishes": {"unsafe", []*settings.Settings{parseSettings(t, unsafeLane, "")}, 1},
		"safe becomes unsafe with another deadline": {"safe", []*settings.Settings{
			parseSettings(t, `"hard_limit":2,"semantics":"safe"`, `"hard_limit":1,"semantics":"unsafe"`)}, 3},
		"keyed becomes unsafe": {"keyed", []*settings.Settings{
			parseSettings(t, `"semantics":"keyed","dedup_scope":"zone","repeat_window":9`, `"semantics":"unsafe"`)}, 3},
	} {
		for _, waitsFor := range []string{"a time", "a job"} {
			for _, inTurn := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, waits for %s, in the turn of the release %v", name, waitsFor, inTurn), func(t *testing.T) {
					r := newDeferredRig(t)
					var parents []string
					var parent *jobModel
					if waitsFor == "a job" {
						parent = r.arrive("p", "safe", 9*time.Second)
						parents = append(parents, "p")
					} else {
						r.startDelay = 500 * time.Millisecond
					}
					j := r.arrive("j", c.class, 5*time.Second, parents...)
					r.reportFreeSlots(1e6)
					if inTurn && parent == nil {
						r.advance(j.sentAt.Add(480 * time.Millisecond).Sub(r.now))
						r.now = j.sentAt.Add(501 * time.Millisecond)
					}
					for _, s := range c.reloads {
						r.handle(settingsChanged{s})
						if !inTurn {
							r.advance(20 * time.Millisecond)
						}
					}
					if len(r.requests["j"].attempts) > 0 || r.requests["j"].submitStep != 0 {
						t.Fatal("submitted before the reload")
					}
					if parent != nil {
						r.finishJob(parent, balance.Served)
					}
					if got := r.attemptsUntilAnswer(j); got != c.attempts {
						t.Errorf("got %d attempts, want %d as when it was accepted", got, c.attempts)
					}
				})
			}
		}
	}
}

// withDedupWindow returns an override that limits the window of keyed classes, in seconds.
func withDedupWindow(window float64) func(*settings.Settings) *settings.Settings {
	return func(platform *settings.Settings) *settings.Settings {
		s := *platform
		s.Classes = append([]settings.Class(nil), platform.Classes...)
		for i := range s.Classes {
			s.Classes[i].DedupWindow = min(s.Classes[i].DedupWindow, window)
		}
		return &s
	}
}

func unchangedSettings(s *settings.Settings) *settings.Settings { return s }

// An agreed configuration that allows fewer retries must bind the jobs that the scheduler does not hold yet as well,
// whether they are deferred or arrived in the same turn, also after it is loosened again. One that allows more must not.
func TestAgreedConfigBindsWaitingJobs(t *testing.T) {
	for name, c := range map[string]struct {
		before, after func(*settings.Settings) *settings.Settings
		attempts      int
	}{
		"tightened": {unchangedSettings, allNonIdempotent, 1},
		"loosened":  {allNonIdempotent, unchangedSettings, 1},
		"unchanged": {unchangedSettings, unchangedSettings, 3},
	} {
		for _, deferred := range []bool{false, true} {
			r := newDeferredRig(t)
			r.ConfigSource = &configModel{before: &EffectiveConfig{Override: c.before}, after: &EffectiveConfig{Override: c.before}}
			r.advance(20 * time.Millisecond)
			if deferred {
				r.startDelay = 500 * time.Millisecond
			}
			j := r.arrive("j", "safe", 5*time.Second)
			r.ConfigSource = &configModel{after: &EffectiveConfig{Override: c.after}}
			r.advance(20 * time.Millisecond)
			if deferred {
				r.ConfigSource = &configModel{after: &EffectiveConfig{Override: unchangedSettings}}
			}
			r.reportFreeSlots(1e6)
			if got := r.attemptsUntilAnswer(j); got != c.attempts {
				t.Errorf("%s, deferred %v: got %d attempts, want %d", name, deferred, got, c.attempts)
			}
		}
	}
}

// An agreed configuration that shortens the window of a keyed class must bound the retries of jobs that may have run
// already: a retry that was decided in the window must not be sent after its end.
func TestShorterWindowBoundsRetries(t *testing.T) {
	r := newDeferredRig(t)
	r.ConfigSource = &configModel{after: &EffectiveConfig{Override: unchangedSettings}}
	j := r.arrive("j", "keyed", 5*time.Second)
	r.reportFreeSlots(1e6)
	first := r.requests["j"].lastSentAt
	r.ConfigSource = &configModel{after: &EffectiveConfig{Override: withDedupWindow(1)}}
	r.advance(20 * time.Millisecond)
	r.finishJob(j, balance.ConnectionLost)
	for len(r.attemptRequests) == 1 && len(j.answers) == 0 {
		r.advance(20 * time.Millisecond)
		r.reportFreeSlots(1e6)
	}
	if len(r.attemptRequests) != 2 {
		t.Fatalf("got %d attempts and answers %v, want a retry", len(r.attemptRequests), j.answers)
	}
	want := r.wallTime(first + 1)
	if got := r.attemptRequests[1].SendBy; got.Sub(want).Abs() > time.Microsecond {
		t.Errorf("the retry may be sent until %v after the first attempt, want 1 s", got.Sub(r.wallTime(first)))
	}
}

// A job whose class changes between its head and the last byte of its body must not be retried more than the class
// allowed when the head was read, or without a key if none was required then. Without a change nothing is restricted.
func TestClassChangesBehindTheHead(t *testing.T) {
	unsafeToKeyed := []string{`"unsafe","value"`, `"keyed","dedup_scope":"all","repeat_window":9,"value"`}
	for name, c := range map[string]struct {
		class    string
		reload   []string
		attempts int // of 3, when each breaks
	}{
		"unsafe becomes keyed":    {"unsafe", unsafeToKeyed, 1},
		"unsafe becomes safe":     {"unsafe", []string{`"semantics":"unsafe"`, safeLane}, 1},
		"safe becomes keyed":      {"safe", []string{`"safe","value"`, `"keyed","dedup_scope":"all","repeat_window":9,"value"`}, 1},
		"safe becomes unsafe":     {"safe", []string{`"hard_limit":2,"semantics":"safe"`, `"hard_limit":2,"semantics":"unsafe"`}, 1},
		"safe stays":              {"safe", nil, 3},
		"another class is keyed":  {"safe", unsafeToKeyed, 3},
		"safe has another weight": {"safe", []string{`"safe","value":1`, `"safe","value":2`}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			r := newDeferredRig(t)
			for i, class := range r.Settings.Config().Classes {
				if class.Name == c.class {
					r.headClass = &r.Settings.Config().Classes[i]
				}
			}
			r.handle(settingsChanged{parseSettings(t, c.reload...)})
			r.advance(20 * time.Millisecond)
			j := r.arrive("j", c.class, 5*time.Second)
			r.reportFreeSlots(1e6)
			if got := r.attemptsUntilAnswer(j); got != c.attempts {
				t.Errorf("got %d attempts, want %d", got, c.attempts)
			}
		})
	}
}
