package operatorconfig

import (
	"errors"
	"fmt"
	"math"
	"time"

	"example.org/bellstream/internal/cluster/quota"
)

// Defaults of the exchange of usage counters, for a network within one or two data centers.
const (
	DefaultPeriod                 = 250 * time.Millisecond
	DefaultStaleness              = 20 * time.Second // if each reservation has owners at a few instances
	DefaultStalenessWithoutOwners = 4 * time.Second  // if Owners is 0: every instance owns a part of each reservation
	DefaultOwners                 = 3
	DefaultRetention              = 2 * time.Minute
	DefaultDelay                  = 50 * time.Millisecond
	DefaultShareFloor             = 0.02
	DefaultLoss                   = 0.01
	BoundWindowSeconds            = 10.0 // window for which the error of a share is stated
)

func (f *File) instances() int {
	if f.Usage == nil {
		return 0
	}
	return f.Usage.Instances
}

// QuotaSettings returns the settings of the exchange of usage counters. The argument
// instances is the number of expected instances if the file does not set it.
func (f *File) QuotaSettings(instances int) (quota.Settings, error) {
	s := quota.Settings{
		Period:            DefaultPeriod.Seconds(),
		LeaseDuration:     DefaultStaleness.Seconds(),
		RetainedFraction:  DefaultShareFloor,
		ForgetAfter:       DefaultRetention.Seconds(),
		ExpectedInstances: instances,
		MaxDelay:          DefaultDelay.Seconds(),
		LossRate:          DefaultLoss,
		Owners:            DefaultOwners,
	}
	c := &collector{file: f}
	if f.Usage != nil && f.Usage.Owners != nil {
		s.Owners = *f.Usage.Owners
		if s.Owners == 0 {
			s.LeaseDuration = DefaultStalenessWithoutOwners.Seconds()
		}
	}
	if f.Gossip != nil {
		c.duration("peers", "period", f.Gossip.Period, &s.Period)
		s.Region = f.Gossip.Region
	}
	if f.Usage != nil {
		c.usage(f.Usage, &s)
	}
	return s, errors.Join(c.errs...)
}

// usage replaces settings by the values in the counts block. It only validates max_error, which FitQuota applies.
func (c *collector) usage(block *Usage, s *quota.Settings) {
	c.duration("counts", "staleness", block.Staleness, &s.LeaseDuration)
	c.duration("counts", "forget", block.Retention, &s.ForgetAfter)
	c.duration("counts", "delay", block.Delay, &s.MaxDelay)
	c.fraction("floor", block.ShareFloor, &s.RetainedFraction)
	c.fraction("loss", block.Loss, &s.LossRate)
	var maxError float64
	c.fraction("max_error", block.MaxError, &maxError)
	if block.Instances < 0 || block.Instances > maxInstances {
		c.add("counts", "instances", fmt.Errorf("%d is not from 0 to %d", block.Instances, maxInstances))
	} else if block.Instances > 0 {
		s.ExpectedInstances = block.Instances
	}
}

// duration parses text, the value of a key, and sets seconds to the result. An empty text changes nothing. It
// records an error if text is not a duration of 0 or more.
func (c *collector) duration(block, key, text string, seconds *float64) {
	if text == "" {
		return
	}
	duration, err := time.ParseDuration(text)
	if err != nil || duration < 0 {
		c.add(block, key, fmt.Errorf("%q is not a duration of 0 or more (examples: \"250ms\", \"4s\")", text))
		return
	}
	*seconds = duration.Seconds()
}

// fraction replaces a setting by the value of a key of the counts block, if the key is set. It records an error if
// the value is not from 0 to 1.
func (c *collector) fraction(key string, value, setting *float64) {
	if value == nil {
		return
	}
	if math.IsNaN(*value) || *value < 0 || *value > 1 {
		c.add("counts", key, fmt.Errorf("%v is not from 0 to 1", *value))
		return
	}
	*setting = *value
}

// checkQuota validates the settings of the exchange without the tenants' quotas.
func (f *File) checkQuota() error {
	s, err := f.QuotaSettings(1)
	if err != nil {
		return err
	}
	return f.validateQuota(s, max(f.instances(), 1), 0, 0)
}

func (f *File) validateQuota(s quota.Settings, instances int, smallestQuota, maxError float64) error {
	key, err := s.Validate(instances, smallestQuota, BoundWindowSeconds, maxError)
	if err == nil {
		return nil
	}
	if key == "period" {
		return f.ErrorAt("peers", key, err)
	}
	return f.ErrorAt("counts", key, err)
}

// FitQuota returns the settings of the exchange and the error bounds that result from
// them for the tenant with the smallest reservation. It returns an error if the
// max_error in the file can't be met for that tenant.
func (f *File) FitQuota(instances int, tenants []quota.Tenant) (quota.Settings, quota.Bounds, error) {
	s, err := f.QuotaSettings(instances)
	if err != nil {
		return s, quota.Bounds{}, err
	}
	smallest := smallestQuota(tenants)
	maxError := 0.0
	if f.Usage != nil && f.Usage.MaxError != nil {
		maxError = *f.Usage.MaxError
	}
	if err := f.validateQuota(s, s.ExpectedInstances, smallest, maxError); err != nil {
		return s, quota.Bounds{}, err
	}
	return s, s.Bounds(s.ExpectedInstances, smallest, BoundWindowSeconds), nil
}

// smallestQuota returns the smallest quota above 0, or 0 if there is none.
func smallestQuota(tenants []quota.Tenant) float64 {
	smallest := 0.0
	for _, t := range tenants {
		if t.Quota > 0 && (smallest == 0 || t.Quota < smallest) {
			smallest = t.Quota
		}
	}
	return smallest
}

const maxInstances = 1000
