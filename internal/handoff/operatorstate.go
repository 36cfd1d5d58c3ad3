package handoff

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"unicode/utf8"

	"github.com/tidwall/gjson"
)

// FormatVersion is the version of the encoding of OperatorState.
const FormatVersion = 1

// MaxCordoned is the maximum number of cordoned workers.
const MaxCordoned = 4096

// OperatorState is what operators' commands have set, no matter which process
// received them. A value must not be modified once it is shared.
type OperatorState struct {
	Cordoned map[string]float64 // time of the command in Unix seconds, by worker
	Paused   bool               // the dispatcher is being drained
}

// IsCordoned reports whether a worker is cordoned.
func (s *OperatorState) IsCordoned(worker string) bool {
	_, cordoned := s.Cordoned[worker]
	return cordoned
}

// Cordon returns the state with a worker cordoned. A worker that is already
// cordoned keeps its time. It is an error if MaxCordoned workers are cordoned.
func (s *OperatorState) Cordon(worker string, now float64) (*OperatorState, error) {
	if s.IsCordoned(worker) {
		return s, nil
	}
	if len(s.Cordoned) >= MaxCordoned {
		return s, fmt.Errorf("%d workers are left out already", len(s.Cordoned))
	}
	next := s.clone()
	next.Cordoned[worker] = now
	return next, nil
}

// Uncordon returns the state without the cordon of a worker.
func (s *OperatorState) Uncordon(worker string) *OperatorState {
	next := s.clone()
	delete(next.Cordoned, worker)
	return next
}

// SetPaused returns the state with the dispatcher paused, or not.
func (s *OperatorState) SetPaused(paused bool) *OperatorState {
	next := s.clone()
	next.Paused = paused
	return next
}

func (s *OperatorState) clone() *OperatorState {
	next := &OperatorState{Cordoned: maps.Clone(s.Cordoned), Paused: s.Paused}
	if next.Cordoned == nil {
		next.Cordoned = map[string]float64{}
	}
	return next
}

// encodedState is the content of the file. Its keys are in alphabetical order, as
// in files that earlier builds have written.
type encodedState struct {
	Cordoned map[string]float64 `json:"out"`
	Paused   bool               `json:"paused"`
	Version  int                `json:"version"`
}

// Encode returns the content of a file.
func (s *OperatorState) Encode() []byte {
	encoded, err := json.Marshal(encodedState{s.Cordoned, s.Paused, FormatVersion})
	if err != nil {
		panic(err) // times are finite
	}
	return append(encoded, '\n')
}

// Decode decodes the content of a file. If the content is truncated or corrupt, or
// has another version, Decode returns an error and no state.
func Decode(encoded []byte) (*OperatorState, error) {
	if !gjson.ValidBytes(encoded) {
		return nil, errors.New("not valid JSON")
	}
	root := gjson.ParseBytes(encoded)
	if version := root.Get("version"); version.Type != gjson.Number || version.Float() != FormatVersion {
		return nil, fmt.Errorf("unsupported version %q, want %d", version.String(), FormatVersion)
	}
	cordoned := root.Get("out")
	paused := root.Get("paused")
	if cordoned.Type != gjson.Null && !cordoned.IsObject() || !paused.IsBool() {
		return nil, errors.New("out or paused is missing or has a wrong type")
	}
	workers, err := decodeCordoned(cordoned)
	if err != nil {
		return nil, err
	}
	return &OperatorState{Cordoned: workers, Paused: paused.Bool()}, nil
}

func decodeCordoned(object gjson.Result) (map[string]float64, error) {
	cordoned := map[string]float64{}
	var err error
	object.ForEach(func(key, since gjson.Result) bool {
		worker := key.String()
		if worker == "" || !utf8.ValidString(worker) || since.Type != gjson.Number || len(cordoned) >= MaxCordoned {
			err = fmt.Errorf("out: invalid worker %q or invalid time, or too many workers", worker)
			return false
		}
		cordoned[worker] = since.Float()
		return true
	})
	if err != nil {
		return nil, err
	}
	return cordoned, nil
}
