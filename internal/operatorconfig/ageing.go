package operatorconfig

import (
	"fmt"
	"slices"
	"time"

	"example.org/bellstream/internal/settings"
)

// MaxWaits returns the guaranteed maximum waits by class, in seconds. If classes is
// not nil, it returns an error for a class of the file that is not in classes, or
// whose deadline is not longer than its maximum wait.
func (f *File) MaxWaits(classes []settings.Class) (map[string]float64, error) {
	waits := map[string]float64{}
	for i, block := range f.Ageing {
		maxWait, err := time.ParseDuration(block.MaxWait)
		if err != nil || maxWait <= 0 {
			return nil, f.ageingError(i, "max_wait", "%q is not a duration above 0 (example: \"5s\")", block.MaxWait)
		}
		for _, name := range block.Classes {
			if waits[name] > 0 {
				return nil, f.ageingError(i, "classes", "class %q is named twice", name)
			}
			waits[name] = maxWait.Seconds()
			if classes == nil {
				continue
			}
			if err := f.checkMaxWait(i, maxWait, name, classes); err != nil {
				return nil, err
			}
		}
	}
	return waits, nil
}

func (f *File) ageingError(block int, key, format string, args ...any) error {
	return f.text.ErrorAt("ageing", block, key, fmt.Errorf(format, args...))
}

// checkMaxWait checks that a class exists and that its deadline, if it has one, is longer than the maximum wait.
func (f *File) checkMaxWait(block int, maxWait time.Duration, name string, classes []settings.Class) error {
	i := slices.IndexFunc(classes, func(c settings.Class) bool { return c.Name == name })
	if i < 0 {
		return f.ageingError(block, "classes", "there is no class %q", name)
	}
	if limit := classes[i].ClientTimeout; limit > 0 && maxWait.Seconds() >= limit {
		return f.ageingError(block, "max_wait", "%v is not below the deadline of class %q, %v s", maxWait, name, limit)
	}
	return nil
}
