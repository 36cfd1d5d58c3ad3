// Package loadgen generates the load of clients: the arrival time of each
// request, its class, tenant, slots and client timeout, and how a client reacts
// to an answer. The load is open loop: answers do not affect when later requests
// arrive. The package has no clock and no I/O; times are in seconds from the
// start.
package loadgen

import (
	"errors"
	"fmt"
	"slices"
)

// Shapes of the arrival process.
const (
	Poisson = "poisson"
	Even    = "even"
	Bursts  = "bursts" // Settings.Burst requests at the same time, at random times
	Day     = "day"    // the rate varies between a fifth and nine fifths of the mean
)

// Shapes lists all shapes.
var Shapes = []string{Poisson, Even, Bursts, Day}

// Bounds of the settings.
const (
	maxRate                 = 1e6 // requests per second
	maxSpanSeconds          = 86400
	maxClientTimeoutSeconds = 600
	maxRetries              = 20
	maxSlots                = 1024
)

// WeightedName is a name with the weight by which it is drawn.
type WeightedName struct {
	Name   string
	Weight float64
}

// Class is a class of jobs.
type Class struct {
	WeightedName
	ClientTimeout     float64
	HasIdempotencyKey bool
	Slots             []WeightedName // the names are numbers of slots; empty: one slot
}

// Settings are the parameters of a Generator and of its clients.
type Settings struct {
	Seed               uint64
	Rate               float64 // mean requests per second
	Shape              string
	Burst              int     // requests per burst, for Bursts
	Period             float64 // length of a day in seconds, for Day
	Span               float64 // length of the load in seconds
	MaxJobs            int     // 0: no bound
	Classes            []Class
	Tenants            []WeightedName
	DisconnectFraction float64 // fraction of the clients that disconnect before their timeout
	MaxRetries         int     // of a client after rejections
	HonorRetryAfter    bool    // if false, retries wait defaultRetryDelay
}

// Validate returns an error that names the first setting that is out of its range.
func (s *Settings) Validate() error {
	if err := s.validateArrivals(); err != nil {
		return err
	}
	switch {
	case !(s.DisconnectFraction >= 0 && s.DisconnectFraction <= 1):
		return fmt.Errorf("leave: %v is not from 0 to 1", s.DisconnectFraction)
	case s.MaxRetries < 0 || s.MaxRetries > maxRetries:
		return fmt.Errorf("retries: %d is not from 0 to 20", s.MaxRetries)
	case len(s.Classes) == 0 || len(s.Tenants) == 0:
		return errors.New("class, tenant: at least one of each is required")
	}
	for _, class := range s.Classes {
		if err := class.validate(); err != nil {
			return err
		}
	}
	for _, tenant := range s.Tenants {
		if !(tenant.Weight > 0) {
			return fmt.Errorf("tenant %s: weight %v is not above 0", tenant.Name, tenant.Weight)
		}
	}
	return nil
}

// validateArrivals checks the settings of the arrival process.
func (s *Settings) validateArrivals() error {
	switch {
	case !(s.Rate > 0 && s.Rate <= maxRate):
		return fmt.Errorf("rate: %v is not above 0 and up to 1e6", s.Rate)
	case !slices.Contains(Shapes, s.Shape):
		return fmt.Errorf("shape: %q is none of %v", s.Shape, Shapes)
	case s.Shape == Bursts && s.Burst < 1:
		return fmt.Errorf("burst: %d is not above 0", s.Burst)
	case s.Shape == Day && !(s.Period > 0):
		return fmt.Errorf("period: %v is not above 0", s.Period)
	case !(s.Span > 0 && s.Span <= maxSpanSeconds):
		return fmt.Errorf("span: %v s is not above 0 and up to a day", s.Span)
	}
	return nil
}

func (c *Class) validate() error {
	if c.Weight > 0 && validClientTimeout(c.ClientTimeout) {
		return nil
	}
	return fmt.Errorf("class %s: weight %v and patience %v s must be above 0, patience up to 600",
		c.Name, c.Weight, c.ClientTimeout)
}

func validClientTimeout(seconds float64) bool {
	return seconds > 0 && seconds <= maxClientTimeoutSeconds
}
