package loadgen

import (
	"fmt"
	"strconv"
	"strings"
)

// ParseWeightedName parses a name and a weight above 0 with a separator between them.
func ParseWeightedName(text, separator string) (WeightedName, error) {
	name, rest, found := strings.Cut(text, separator)
	weight, err := strconv.ParseFloat(rest, 64)
	if !found || name == "" || err != nil || !(weight > 0) {
		return WeightedName{}, fmt.Errorf("%q is not NAME%sWEIGHT with a weight above 0", text, separator)
	}
	return WeightedName{Name: name, Weight: weight}, nil
}

// ParseClass parses NAME:WEIGHT:PATIENCE[:keyed][:SLOTS=WEIGHT...]. PATIENCE is the
// client timeout in seconds.
func ParseClass(text string) (class Class, err error) {
	parts := strings.Split(text, ":")
	if len(parts) < 3 {
		return class, fmt.Errorf("class %q is not NAME:WEIGHT:PATIENCE", text)
	}
	class.WeightedName, err = ParseWeightedName(parts[0]+":"+parts[1], ":")
	if err != nil {
		return class, fmt.Errorf("class %w", err)
	}
	class.ClientTimeout, err = strconv.ParseFloat(parts[2], 64)
	if err != nil {
		return class, fmt.Errorf("class %q: patience %q is not a number of seconds", text, parts[2])
	}
	for _, option := range parts[3:] {
		if option == "keyed" {
			class.HasIdempotencyKey = true
			continue
		}
		slots, ok := parseSlots(option)
		if !ok {
			return class, fmt.Errorf("class %q: %q is not SLOTS=WEIGHT with 1 to 1024 slots", text, option)
		}
		class.Slots = append(class.Slots, slots)
	}
	return class, nil
}

// parseSlots parses SLOTS=WEIGHT.
func parseSlots(text string) (WeightedName, bool) {
	slots, err := ParseWeightedName(text, "=")
	if err != nil {
		return WeightedName{}, false
	}
	count, err := strconv.ParseFloat(slots.Name, 64)
	if err != nil || !(count >= 1 && count <= maxSlots) {
		return WeightedName{}, false
	}
	return slots, true
}
