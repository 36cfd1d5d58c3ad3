package invariants

import (
	"cmp"
	"maps"
	"slices"
)

// Level is the rate in slot starts per second that groups of instances allow a service
// from At, in ns, until the next Level.
type Level struct {
	At int64
	By map[string]float64 // by group: the highest rate of its instances
}

// Sum returns the rate that all groups allow together.
func (l Level) Sum() (sum float64) {
	for _, rate := range l.By {
		sum += rate
	}
	return sum
}

// levelChange is the start or the end of an instance's span.
type levelChange struct {
	at   int64
	name string
	rate float64
	ends bool
}

// Levels returns the rates that a service is allowed during the time that the journals
// cover. An instance allows none while it has no lease or does not run.
func (a *Journals) Levels(service string, group func(name string) string) (levels []Level) {
	changes := a.levelChanges(service)
	rates := map[string]float64{} // by instance
	for i, change := range changes {
		if change.ends {
			delete(rates, change.name)
		} else {
			rates[change.name] = change.rate
		}
		if i+1 < len(changes) && changes[i+1].at == change.at {
			continue
		}
		level := groupRates(change.at, rates, group)
		if n := len(levels); n == 0 || !maps.Equal(levels[n-1].By, level.By) {
			levels = append(levels, level)
		}
	}
	return levels
}

// levelChanges returns the changes in order of time. At the same time, ends precede
// starts, because a span does not include its end.
func (a *Journals) levelChanges(service string) (changes []levelChange) {
	for _, s := range a.spans(&Verdict{}) {
		changes = append(changes,
			levelChange{at: s.from, name: s.Name, rate: s.Uses[service]},
			levelChange{at: s.to, name: s.Name, ends: true})
	}
	slices.SortStableFunc(changes, func(x, y levelChange) int {
		return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.order(), y.order()))
	})
	return changes
}

func (c levelChange) order() int {
	if c.ends {
		return 0
	}
	return 1
}

func groupRates(at int64, rates map[string]float64, group func(name string) string) Level {
	level := Level{At: at, By: map[string]float64{}}
	for name, rate := range rates {
		level.By[group(name)] = max(level.By[group(name)], rate)
	}
	return level
}
