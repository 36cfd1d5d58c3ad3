package operatorconfig

import (
	"fmt"
	"time"

	"example.org/bellstream/internal/deferred"
)

// DeferredLimits returns the limits in the waiting block, with defaults for missing keys.
func (f *File) DeferredLimits() (deferred.Limits, error) {
	limits := deferred.Defaults()
	block := f.Deferred
	if block == nil {
		return limits, nil
	}
	override(&limits.Jobs, block.Jobs)
	override(&limits.Parents, block.Parents)
	override(&limits.Depth, block.Depth)
	override(&limits.UnknownParents, block.UnknownParents)
	override(&limits.RetainedOutcomes, block.RetainedOutcomes)
	override(&limits.Bytes, block.Bytes)
	if err := f.overrideSeconds(&limits.UnknownParentGrace, "grace", block.UnknownParentGrace); err != nil {
		return limits, err
	}
	if err := f.overrideSeconds(&limits.Retention, "remember", block.Retention); err != nil {
		return limits, err
	}
	if key, err := limits.Check(); err != nil {
		return limits, f.ErrorAt("waiting", key, err)
	}
	return limits, nil
}

// override replaces a setting by the value in the file, if there is one.
func override[T any](setting, value *T) {
	if value != nil {
		*setting = *value
	}
}

// overrideSeconds sets seconds to the duration in text, the value of a key of the waiting block, unless that is
// empty.
func (f *File) overrideSeconds(seconds *float64, key, text string) error {
	if text == "" {
		return nil
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		return f.ErrorAt("waiting", key, fmt.Errorf("%q is not a duration (example: \"2s\")", text))
	}
	*seconds = duration.Seconds()
	return nil
}
