package settings

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"github.com/tidwall/gjson"
)

// ErrNoFile is returned by Load if the path is empty.
var ErrNoFile = errors.New("RELAY_CONFIG names no configuration file")

// Instance is the decoded configuration file of a real dispatcher.
type Instance struct {
	Name            string
	Listen          string
	Discovery       string
	Control         string // address at which operators' commands are accepted; empty: none
	Seed            uint64
	Cores           float64
	MemoryMB        int
	Sockets         int
	CachedEndpoints []byte // the cached endpoint list, in discovery's JSON format
	Settings        *Settings

	outline *outline // of the file
}

// Load reads an instance's configuration file. Errors name the file; an empty path is [ErrNoFile].
func Load(path string) (*Instance, error) {
	if path == "" {
		return nil, ErrNoFile
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	i, err := ParseInstance(raw)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return i, nil
}

// ParseInstance decodes the text of a configuration file. Unknown keys are ignored.
func ParseInstance(raw []byte) (*Instance, error) {
	if !gjson.ValidBytes(raw) {
		return nil, errNotJSON
	}
	r := &reader{root: gjson.ParseBytes(raw)}
	i := &Instance{
		outline:         newOutline(r.root),
		Name:            r.text("name"),
		Listen:          r.text("listen"),
		Discovery:       r.text("discovery"),
		Control:         r.text("control"),
		Cores:           r.num("limits.cores"),
		MemoryMB:        r.int("limits.memory_mb"),
		Sockets:         r.int("limits.sockets"),
		CachedEndpoints: []byte(r.get("known", gjson.JSON).Raw),
	}
	if err := i.parseSeed(r.text("seed")); err != nil {
		return nil, err
	}
	if r.err != nil {
		return nil, r.err
	}
	if err := i.check(); err != nil {
		return nil, err
	}
	var err error
	i.Settings, err = Parse([]byte(r.get("settings", gjson.JSON).Raw))
	return i, err
}

func (i *Instance) parseSeed(text string) error {
	if text == "" {
		return nil
	}
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return &KeyError{"seed", fmt.Sprintf("%q is not up to 16 hex digits", text)}
	}
	i.Seed = seed
	return nil
}

// check validates the instance's own keys, not its settings.
func (i *Instance) check() error {
	switch {
	case i.Listen == "":
		return &KeyError{"listen", "missing"}
	case i.Discovery == "":
		return &KeyError{"discovery", "missing"}
	case !validAddress(i.Listen), !validAddress(i.Discovery):
		return &KeyError{"listen or discovery", "not host:port"}
	case i.Control != "" && !validAddress(i.Control):
		return &KeyError{"control", fmt.Sprintf("%q is not host:port", i.Control)}
	case i.MemoryMB < 0 || i.Sockets < 0 || i.Cores < 0:
		return &KeyError{"limits", "a value is below 0"}
	}
	return nil
}

func validAddress(s string) bool {
	_, port, err := net.SplitHostPort(s)
	return err == nil && port != ""
}
