// Package handover decides between processes of one dispatcher: an upgrade
// starts a new one beside the old one. It says which of them leads, and holds
// what binds all of them. It does no I/O and reads no clock.
package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"unicode/utf8"

	"github.com/tidwall/gjson"
)

// Version is that of the form in which Shared is written.
const Version = 1

// MostOut bounds how many workers may be left out at one time.
const MostOut = 4096

// Shared is what operators said to the dispatcher, whichever process heard it.
// A value that was handed out is not changed any more.
type Shared struct {
	Out    map[string]float64 // workers that are left out, and since when, in Unix seconds
	Paused bool               // the dispatcher is to be empty
}

// IsOut says that a worker is left out.
func (s *Shared) IsOut(worker string) bool {
	_, out := s.Out[worker]
	return out
}

// Suspend returns what holds with a worker left out. Said twice it counts once,
// from the first time on.
func (s *Shared) Suspend(worker string, now float64) (*Shared, error) {
	if s.IsOut(worker) {
		return s, nil
	}
	if len(s.Out) >= MostOut {
		return s, fmt.Errorf("%d workers are left out already", len(s.Out))
	}
	next := s.clone()
	next.Out[worker] = now
	return next, nil
}

// Restore returns what holds with a worker back in.
func (s *Shared) Restore(worker string) *Shared {
	next := s.clone()
	delete(next.Out, worker)
	return next
}

// Pause returns what holds with the dispatcher paused, or not.
func (s *Shared) Pause(paused bool) *Shared {
	next := s.clone()
	next.Paused = paused
	return next
}

func (s *Shared) clone() *Shared {
	next := &Shared{Out: maps.Clone(s.Out), Paused: s.Paused}
	if next.Out == nil {
		next.Out = map[string]float64{}
	}
	return next
}

// Encode puts it in the form of a file.
func (s *Shared) Encode() []byte {
	raw, err := json.Marshal(map[string]any{"version": Version, "out": s.Out, "paused": s.Paused})
	if err != nil {
		panic(err) // times are finite
	}
	return append(raw, '\n')
}

// Decode reads a file. One that is cut, damaged or of another version is an
// error as a whole.
func Decode(raw []byte) (*Shared, error) {
	if !gjson.ValidBytes(raw) {
		return nil, errors.New("not valid JSON")
	}
	root := gjson.ParseBytes(raw)
	if v := root.Get("version"); v.Type != gjson.Number || v.Float() != Version {
		return nil, fmt.Errorf("version: %q, want %d", v.String(), Version)
	}
	out, paused := root.Get("out"), root.Get("paused")
	if out.Type != gjson.Null && !out.IsObject() || !paused.IsBool() {
		return nil, errors.New("out or paused is missing or of a wrong type")
	}
	s := &Shared{Out: map[string]float64{}, Paused: paused.Bool()}
	var err error
	out.ForEach(func(id, since gjson.Result) bool {
		if id.String() == "" || !utf8.ValidString(id.String()) || since.Type != gjson.Number || len(s.Out) >= MostOut {
			err = fmt.Errorf("out: %q is no worker with a time, or there are too many", id.String())
			return false
		}
		s.Out[id.String()] = since.Float()
		return true
	})
	if err != nil {
		return nil, err
	}
	return s, nil
}

// State is how far a process is.
type State string

// The states.
const (
	Starting State = "starting" // it can't serve yet
	Ready    State = "ready"    // it serves, or would if it led
	Leaving  State = "leaving"  // it was told to stop
)

// Process is one that lives.
type Process struct {
	No    uint64 // grows from start to start
	State State
}

// Leads says whether the process of a number is the one that takes new
// clients: the youngest that is ready, and where none is, each of them.
func Leads(no uint64, living []Process) bool {
	var leader uint64
	for _, p := range living {
		if p.State == Ready {
			leader = max(leader, p.No)
		}
	}
	return leader == 0 || leader == no
}
