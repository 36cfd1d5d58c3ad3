package loadgen

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
)

// generatorStream separates the generator's random numbers from those of other users
// of the same seed.
const generatorStream = 0x10ad

// The rate of Day is 1 - dayAmplitude*cos(2*pi*t/Period) times the mean, so that its peak
// is dayPeakRatio times the mean.
const (
	dayAmplitude = 0.8
	dayPeakRatio = 1.8
)

// defaultRetryDelay is the delay in seconds of a retry without Retry-After.
const defaultRetryDelay = 0.1

// Job is one request. Times are in seconds.
type Job struct {
	At                float64 `json:"at"`
	Class             string  `json:"class"`
	Tenant            string  `json:"tenant"`
	Slots             float64 `json:"slots"`
	ClientTimeout     float64 `json:"timeout"`
	HasIdempotencyKey bool    `json:"keyed,omitempty"`
	DisconnectsAfter  float64 `json:"leaves,omitempty"` // seconds until the client disconnects; 0: it does not
}

// Generator generates jobs in order of time. It is not safe for concurrent use.
type Generator struct {
	Settings
	rng            *rand.Rand
	now            float64
	burstRemaining int
	drawn          int
}

// NewGenerator returns a generator. The settings must be valid, see Settings.Validate.
func NewGenerator(s Settings) *Generator {
	return &Generator{Settings: s, rng: rand.New(rand.NewPCG(s.Seed, generatorStream))}
}

// Next returns the next job, or false at the end.
func (g *Generator) Next() (Job, bool) {
	g.advance()
	if g.now >= g.Span || g.MaxJobs > 0 && g.drawn >= g.MaxJobs {
		return Job{}, false
	}
	g.drawn++
	class := &g.Classes[pickWeighted(g.rng, len(g.Classes), func(i int) float64 { return g.Classes[i].Weight })]
	job := Job{
		At:                g.now,
		Class:             class.Name,
		Tenant:            g.pickName(g.Tenants),
		Slots:             1,
		ClientTimeout:     class.ClientTimeout,
		HasIdempotencyKey: class.HasIdempotencyKey,
	}
	if len(class.Slots) > 0 {
		_, _ = fmt.Sscan(g.pickName(class.Slots), &job.Slots) // if the name is not a number, the job keeps one slot
	}
	if g.rng.Float64() < g.DisconnectFraction {
		job.DisconnectsAfter = g.rng.Float64() * class.ClientTimeout
	}
	return job, true
}

func (g *Generator) pickName(names []WeightedName) string {
	return names[pickWeighted(g.rng, len(names), func(i int) float64 { return names[i].Weight })].Name
}

// advance moves the time to the next arrival.
func (g *Generator) advance() {
	switch g.Shape {
	case Even:
		g.now = float64(g.drawn) / g.Rate
	case Bursts:
		g.advanceBurst()
	case Day:
		g.advanceDay()
	default:
		g.now += g.rng.ExpFloat64() / g.Rate
	}
}

// advanceBurst moves the time only when all requests of the current burst are drawn.
func (g *Generator) advanceBurst() {
	g.burstRemaining--
	if g.burstRemaining > 0 {
		return
	}
	g.now += g.rng.ExpFloat64() * float64(g.Burst) / g.Rate
	g.burstRemaining = g.Burst
}

// advanceDay draws the next arrival by thinning a Poisson process of the peak rate.
func (g *Generator) advanceDay() {
	for {
		g.now += g.rng.ExpFloat64() / (dayPeakRatio * g.Rate)
		if g.now >= g.Span {
			return
		}
		if g.rng.Float64()*dayPeakRatio < 1-dayAmplitude*math.Cos(2*math.Pi*g.now/g.Period) {
			return
		}
	}
}

// pickWeighted draws an index below n by weight.
func pickWeighted(rng *rand.Rand, n int, weight func(i int) float64) int {
	total := 0.0
	for i := range n {
		total += weight(i)
	}
	remaining := rng.Float64() * total
	for i := range n - 1 {
		remaining -= weight(i)
		if remaining < 0 {
			return i
		}
	}
	return n - 1
}

// RetryDelay returns the seconds until a client's retry and whether the client retries.
// Attempts is the number of attempts so far; retryAfter is the value of Retry-After, 0 if
// there is none, and timeLeft is the time until the client's timeout, both in seconds.
func (s *Settings) RetryDelay(status, attempts int, retryAfter, timeLeft float64) (delay float64, retry bool) {
	rejected := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	if !rejected || attempts > s.MaxRetries {
		return 0, false
	}
	delay = defaultRetryDelay
	if s.HonorRetryAfter && retryAfter > 0 {
		delay = retryAfter
	}
	return delay, delay < timeLeft
}
