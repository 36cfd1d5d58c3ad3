package service

import (
	"fmt"
	"reflect"
	"strings"

	"example.org/bellstream/internal/settings"
)

// describeChanges returns a line for each change by a reload, including changes that only a restart applies. The
// seed and the cached endpoints are not compared, as they are used at startup only.
func describeChanges(old, next *settings.Instance) []string {
	var lines []string
	add := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	if old.Discovery != next.Discovery {
		add("discovery address is now %s", next.Discovery)
	}
	if old.Cores != next.Cores || old.MemoryMB != next.MemoryMB || old.Sockets != next.Sockets {
		add("limits are now %v cores, %d MB, %d descriptors", next.Cores, next.MemoryMB, next.Sockets)
	}
	if next.Control != "" && old.Control != next.Control {
		add("control address stays %s until a restart", old.Control)
	}
	if old.Listen != next.Listen || old.Name != next.Name {
		add("name and listen address stay %s and %s until a restart", old.Name, old.Listen)
	}
	if !reflect.DeepEqual(old.Settings, next.Settings) {
		add("settings changed: %s", describeSettings(old.Settings, next.Settings))
	}
	if len(lines) == 0 {
		add("no changes")
	}
	return lines
}

// describeSettings names the classes that are added or removed, and a changed limit of attempts per job.
func describeSettings(old, next *settings.Settings) string {
	oldClasses := classes(old)
	nextClasses := classes(next)
	var changes []string
	for _, class := range next.Classes {
		if _, ok := oldClasses[class.Name]; !ok {
			changes = append(changes, fmt.Sprintf("class %s added (%s)", class.Name, class.Idempotence))
		}
	}
	for _, class := range old.Classes {
		if _, ok := nextClasses[class.Name]; !ok {
			changes = append(changes, fmt.Sprintf("class %s removed", class.Name))
		}
	}
	oldAttempts := old.Capabilities.MaxAttempts
	nextAttempts := next.Capabilities.MaxAttempts
	if oldAttempts != nextAttempts {
		changes = append(changes, fmt.Sprintf("attempts limited to %d instead of %d", nextAttempts, oldAttempts))
	}
	if len(changes) == 0 {
		return "other values, same classes"
	}
	return strings.Join(changes, ", ")
}
