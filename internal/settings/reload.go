package settings

import (
	"fmt"
	"slices"

	"github.com/tidwall/gjson"

	"example.org/bellstream/balance"
)

// maxBatchInterval is the upper bound of Settings.BatchInterval, in seconds.
const maxBatchInterval = 1

// Reload reads a configuration file for a running program and checks it more strictly than Load does at start,
// when a missing key has a default. A key that the current file has must be in the new one too: its absence is
// taken for a mistake.
func (i *Instance) Reload(path string) (*Instance, error) {
	next, err := Load(path)
	if err != nil {
		return nil, err
	}
	if err := next.checkComplete(i.presentKeys); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return next, nil
}

// collectKeys returns the paths of the keys of a configuration, without those that are used only at start. A key
// of the classes is included if all classes have it, unless only classes with idempotency keys use it.
func collectKeys(root gjson.Result) map[string]bool {
	keys := map[string]bool{}
	addKeys(keys, "", root)
	classes := root.Get("settings.lanes").Array()
	if len(classes) == 0 {
		return keys
	}
	classes[0].ForEach(func(name, _ gjson.Result) bool {
		key := name.String()
		lacksKey := func(class gjson.Result) bool { return !class.Get(key).Exists() }
		if !isOptionalClassKey(key) && !slices.ContainsFunc(classes, lacksKey) {
			keys["settings.lanes[]."+key] = true
		}
		return true
	})
	return keys
}

// isOptionalClassKey reports whether only classes with idempotency keys use a key.
func isOptionalClassKey(key string) bool { return key == "dedup_scope" || key == "repeat_window" }

// isStartKey reports whether a key is used only at start.
func isStartKey(path string) bool { return path == "known" || path == "seed" }

func addKeys(keys map[string]bool, prefix string, object gjson.Result) {
	object.ForEach(func(name, value gjson.Result) bool {
		path := prefix + name.String()
		if isStartKey(path) || value.Type == gjson.Null {
			return true
		}
		keys[path] = true
		if value.IsObject() {
			addKeys(keys, path+".", value)
		}
		return true
	})
}

// checkComplete returns an error if one of the present keys is missing, or if a value is invalid.
func (i *Instance) checkComplete(present map[string]bool) error {
	var missing []string
	for path := range present {
		if !i.presentKeys[path] {
			missing = append(missing, path)
		}
	}
	if len(missing) > 0 {
		return &KeyError{slices.Min(missing), "missing"}
	}
	s := i.Settings
	if err := checkClasses(s.Classes); err != nil {
		return err
	}
	if s.Capabilities.MaxAttempts < 1 {
		return &KeyError{"settings.caps.max_attempts", "not a positive whole number"}
	}
	if s.BatchInterval < 0 || s.BatchInterval > maxBatchInterval {
		return &KeyError{"settings.round", fmt.Sprintf("%v is not a time from 0 to 1 s", s.BatchInterval)}
	}
	if err := s.Config().Check(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

func checkClasses(classes []Class) error {
	seen := map[string]bool{}
	for n, c := range classes {
		path := fmt.Sprintf("settings.lanes[%d].", n)
		if seen[c.Name] {
			return &KeyError{path + "name", fmt.Sprintf("there are two classes %q", c.Name)}
		}
		if err := c.check(path); err != nil {
			return err
		}
		seen[c.Name] = true
	}
	return nil
}

func (c *Class) check(path string) error {
	if c.Name == "" {
		return &KeyError{path + "name", "missing"}
	}
	if !(c.ClientTimeout > 0) {
		return &KeyError{path + "hard_limit", "not a positive number"}
	}
	switch balance.Idempotence(c.Idempotence) {
	case balance.Idempotent, balance.NonIdempotent:
	case balance.IdempotentWithKey:
		if !(c.DedupWindow > 0) {
			return &KeyError{path + "repeat_window", "not a positive number, which a keyed class needs"}
		}
	default:
		return &KeyError{path + "semantics", fmt.Sprintf("unknown %q", c.Idempotence)}
	}
	return nil
}
