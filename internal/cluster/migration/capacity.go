package migration

// Worker holds the properties of a cluster's worker that determine its capacity.
type Worker struct {
	Slots       float64
	Rate        float64 // starts per second of one slot, after slow start
	Started     float64 // clock time of its last start, in seconds; 0: before any slow start in progress
	Unavailable bool    // draining, removed, or cordoned by operators
}

// SlowStart describes the capacity of a worker after its start. The settings have
// the meaning that they have in balance.Config.
type SlowStart struct {
	SlowStartFloor   float64 // fraction of its full capacity at the start
	SlowStartSeconds float64 // time until full capacity; 0: full capacity at the start
	OverloadMultiple float64 // load above this multiple of its capacity makes it fail; 0: no load does
}

// Fraction returns the fraction of its full capacity, 0 to 1, that a worker has at an
// age in seconds since its start.
func (s SlowStart) Fraction(age float64) float64 {
	if s.SlowStartSeconds <= 0 || age >= s.SlowStartSeconds {
		return 1
	}
	return min(1, s.SlowStartFloor+(1-s.SlowStartFloor)*max(age, 0)/s.SlowStartSeconds)
}

// Capacity returns the total capacity of the workers at the clock time now, in seconds,
// at most MaxAmount. Unavailable workers and those without a positive number of slots
// and rate are left out; workers in slow start count in part.
func Capacity(workers []Worker, slowStart SlowStart, now float64) (sum Amount) {
	for _, w := range workers {
		if w.Unavailable || !(w.Slots > 0) || !(w.Rate > 0) {
			continue
		}
		fraction := 1.0
		if w.Started != 0 {
			fraction = slowStart.Fraction(now - w.Started)
		}
		sum = min(MaxAmount, sum+amountOf(w.Slots*w.Rate*fraction))
	}
	return sum
}
