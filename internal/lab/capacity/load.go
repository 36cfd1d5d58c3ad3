package capacity

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Figures of the load that the target does not define. docs/questions.md lists the assumptions.
const (
	Largest               = 0.08   // the largest team's share of all starts
	OneZone               = 0.05   // fraction of the teams that enter through one zone
	Anywhere              = 0.05   // fraction of the teams that enter through all zones
	FewZones              = 3      // number of zones through which each of the other teams enters
	Asked                 = 0.9    // fraction of its quota that a team requests at the peak
	Night                 = 0.1    // rate at the start of the day, as a fraction of the peak
	MeanRun               = 25.0   // mean run time of a task, in seconds
	runTimeSigma          = 1.5    // standard deviation of the logarithm of run times: a heavy tail (median 8 s, 1 % over 260 s)
	Together              = 0.1    // fraction of the changes that arrive ten at once
	AtOnce                = 10     // number of changes that arrive at once
	Day                   = 86_400 // seconds
	acceleratorsPerWorker = 4      // accelerators of a worker that has any; it has as many slots
	plainWorkerSlots      = 8      // slots of a worker without accelerators
	meanReplacementTime   = 600.0  // mean time until a failed machine is replaced, in seconds
	meanRestartTime       = 60.0   // mean time that a restarted machine is away, in seconds
)

// Team is a team with a quota.
type Team struct {
	Name  string
	Share float64 // fraction of all starts
	Quota float64 // starts per second
	Rate  float64 // starts per second that it requests at the peak
	Zones []int   // indexes of the zones through which its requests enter, ascending
}

// Zone is a zone, with its region and its number of workers.
type Zone struct {
	Name    string
	Region  int
	Workers int
}

// Worker is a worker machine.
type Worker struct {
	Zone         int
	Accelerators int // 0: a worker without accelerators
	Slots        int
}

// Change is a configuration change, or several at the same moment, on an ordinary day.
type Change struct {
	At   float64 // seconds since the start of the day
	Many int     // number of changes at this moment: 1 or AtOnce
}

// Event is the failure or restart of a machine, on an ordinary day.
type Event struct {
	At      float64 // seconds since the start of the day
	Machine int     // index among the workers followed by the dispatchers
	Restart bool    // the machine is restarted; otherwise it has failed
	Away    float64 // seconds until it, or its replacement, is back
}

// Load is a generated load of one size, drawn from a seed.
type Load struct {
	Figures
	Percent int
	Teams   []Team // in descending order of Share
	Zones   []Zone
	Workers []Worker
	seed    uint64
}

// regionZones is the number of zones of each of the 6 regions, 22 in all.
var regionZones = []int{6, 5, 4, 3, 2, 2}

// NewLoad draws the load for a percentage of the target. The same seed gives the same load.
func NewLoad(percent int, seed uint64) *Load {
	l := &Load{Figures: Target.Scale(percent), Percent: percent, seed: seed}
	r := l.rand(1)
	for region, n := range regionZones {
		for k := range n {
			l.Zones = append(l.Zones, Zone{Name: fmt.Sprintf("r%d-z%d", region+1, k+1), Region: region})
		}
	}
	weights := make([]float64, len(l.Zones)) // the largest is about five times the smallest
	for i := range weights {
		weights[i] = 1 / math.Sqrt(float64(i+1))
	}
	r.Shuffle(len(weights), func(i, k int) { weights[i], weights[k] = weights[k], weights[i] })
	for i, n := range apportion(l.Figures.Workers, weights) {
		l.Zones[i].Workers = n
	}
	withAccel := (l.Accelerators + acceleratorsPerWorker - 1) / acceleratorsPerWorker
	for z, x := range l.Zones {
		for range x.Workers {
			l.Workers = append(l.Workers, Worker{Zone: z, Slots: plainWorkerSlots})
		}
	}
	for _, i := range r.Perm(len(l.Workers))[:min(withAccel, len(l.Workers))] {
		l.Workers[i].Accelerators, l.Workers[i].Slots = acceleratorsPerWorker, acceleratorsPerWorker
	}
	l.drawTeams(r)
	return l
}

func (l *Load) rand(use uint64) *rand.Rand { return rand.New(rand.NewPCG(l.seed, 0xca9a<<16|use)) }

// apportion splits n into integers proportional to the weights, by the largest-remainder method. Each part is at
// least 1 if n is at least the number of weights.
func apportion(n int, weights []float64) []int {
	sum, left := 0.0, n
	for _, w := range weights {
		sum += w
	}
	out, byRemainder := make([]int, len(weights)), make([]int, len(weights))
	for i, w := range weights {
		out[i] = int(float64(n) * w / sum)
		if n >= len(weights) {
			out[i] = max(1, out[i])
		}
		left, byRemainder[i] = left-out[i], i
	}
	slices.SortStableFunc(byRemainder, func(a, b int) int {
		remainder := func(i int) float64 { _, f := math.Modf(float64(n) * weights[i] / sum); return f }
		return cmp.Compare(remainder(b), remainder(a))
	})
	for k := 0; left > 0; k++ {
		out[byRemainder[k%len(byRemainder)]]++
		left--
	}
	for left < 0 { // takes back what the minimum of 1 gave in excess
		out[slices.Index(out, slices.Max(out))]--
		left++
	}
	return out
}

// drawTeams draws the teams: their shares follow a power law in which the largest has [Largest], and each gets the
// zones through which it enters.
func (l *Load) drawTeams(r *rand.Rand) {
	n := l.Figures.Teams
	shares := powerLawShares(n, Largest)
	for i := range n {
		t := Team{Name: fmt.Sprintf("team-%04d", i), Share: shares[i]}
		t.Rate = t.Share * l.Starts
		t.Quota = t.Rate / Asked
		l.Teams = append(l.Teams, t)
	}
	allZones, oneZone := int(float64(n)*Anywhere+0.5), int(float64(n)*OneZone+0.5)
	perm := r.Perm(n) // half of the teams that enter through all zones are the largest teams
	zoneCounts := make([]int, n)
	for i := range (allZones + 1) / 2 {
		zoneCounts[i] = len(l.Zones)
	}
	allZonesLeft := allZones / 2
	for _, i := range perm {
		switch {
		case zoneCounts[i] > 0:
		case allZonesLeft > 0:
			zoneCounts[i], allZonesLeft = len(l.Zones), allZonesLeft-1
		case oneZone > 0:
			zoneCounts[i], oneZone = 1, oneZone-1
		default:
			zoneCounts[i] = FewZones
		}
	}
	for i := range l.Teams {
		z := r.Perm(len(l.Zones))[:min(zoneCounts[i], len(l.Zones))]
		slices.Sort(z)
		l.Teams[i].Zones = z
	}
}

// powerLawShares returns n shares with the sum 1 that fall by a power of the rank. The first share is the given one,
// unless that is less than 1/n.
func powerLawShares(n int, first float64) []float64 {
	sharesFor := func(power float64) []float64 {
		out, sum := make([]float64, n), 0.0
		for i := range out {
			out[i] = math.Pow(float64(i+1), -power)
			sum += out[i]
		}
		for i := range out {
			out[i] /= sum
		}
		return out
	}
	lo, hi := 0.0, 4.0
	for range 60 {
		if mid := (lo + hi) / 2; sharesFor(mid)[0] < first {
			lo = mid
		} else {
			hi = mid
		}
	}
	return sharesFor(hi)
}

// Place returns the zone of each of n dispatchers, spread as evenly as possible; fewer dispatchers than zones go to
// the regions in turn.
func (l *Load) Place(n int) []int {
	var order []int // the first zone of each region, then the second of each, and so on
	for k := 0; len(order) < len(l.Zones); k++ {
		firstZone := 0
		for _, zones := range regionZones {
			if k < zones {
				order = append(order, firstZone+k)
			}
			firstZone += zones
		}
	}
	out := make([]int, n)
	for i := range out {
		out[i] = order[i%len(order)]
	}
	return out
}

// Enters returns for each team the dispatchers that its requests enter through, given the zone of each dispatcher. A
// team that enters through one zone or through all zones uses all dispatchers there; any other team uses one in each of
// its zones. Instead of a zone without dispatchers, its clients use a dispatcher drawn from all.
func (l *Load) Enters(zones []int) [][]int {
	r := l.rand(2)
	byZone := make([][]int, len(l.Zones))
	for i, z := range zones {
		byZone[z] = append(byZone[z], i)
	}
	out := make([][]int, len(l.Teams))
	for t, x := range l.Teams {
		for _, z := range x.Zones {
			switch inZone := byZone[z]; {
			case len(inZone) == 0:
				out[t] = append(out[t], r.IntN(len(zones)))
			case len(x.Zones) == FewZones:
				out[t] = append(out[t], inZone[r.IntN(len(inZone))])
			default:
				out[t] = append(out[t], inZone...)
			}
		}
		slices.Sort(out[t])
		out[t] = slices.Compact(out[t])
	}
	return out
}

// Rate returns the request rate at a second of the day as a fraction of the peak: lowest at midnight, highest at noon.
func Rate(at float64) float64 {
	return (1+Night)/2 - (1-Night)/2*math.Cos(2*math.Pi*at/Day)
}

// TaskTime draws the run time of a task, in seconds.
func TaskTime(r *rand.Rand) float64 {
	return MeanRun * math.Exp(runTimeSigma*r.NormFloat64()-runTimeSigma*runTimeSigma/2)
}

// drawTimeOfDay draws a second of the day, with a probability proportional to [Rate].
func drawTimeOfDay(r *rand.Rand) float64 {
	for {
		if at := r.Float64() * Day; r.Float64() < Rate(at) {
			return at
		}
	}
}

// ConfigChanges returns the configuration changes of an ordinary day, by time.
func (l *Load) ConfigChanges() (list []Change) {
	r := l.rand(3)
	groups := int(float64(l.Changes)*Together/AtOnce + 0.5)
	for range groups {
		list = append(list, Change{drawTimeOfDay(r), AtOnce})
	}
	for range max(0, l.Changes-groups*AtOnce) {
		list = append(list, Change{drawTimeOfDay(r), 1})
	}
	slices.SortFunc(list, func(a, b Change) int { return cmp.Compare(a.At, b.At) })
	return list
}

// MachineEvents returns the failures and restarts of machines on an ordinary day, by time. Machines are the workers
// followed by the given number of dispatchers.
func (l *Load) MachineEvents(dispatchers int) (list []Event) {
	r := l.rand(4)
	machine := func() int { return r.IntN(len(l.Workers) + dispatchers) }
	for range int(l.Failures + 0.5) {
		list = append(list, Event{r.Float64() * Day, machine(), false, meanReplacementTime * r.ExpFloat64()})
	}
	for range int(l.Restarts + 0.5) {
		list = append(list, Event{r.Float64() * Day, machine(), true, meanRestartTime * (0.5 + r.Float64())})
	}
	slices.SortFunc(list, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return list
}
