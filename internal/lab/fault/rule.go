// Package fault decides what a proxy does to the traffic that it forwards: which
// bytes are forwarded, when, and where a connection is closed. It has no clock
// and no I/O; package faultproxy applies its decisions to sockets. The same seed,
// rules and input give the same decisions: each connection has its own random
// draws, so that the order among connections does not matter.
package fault

import (
	"math"
	"slices"
)

// Kind is the kind of a fault.
type Kind string

// The kinds of faults.
const (
	Delay     Kind = "delay"      // data are forwarded later, in order
	Rate      Kind = "rate"       // the bytes per second are bounded
	Loss      Kind = "loss"       // datagrams are dropped
	Cut       Kind = "cut"        // both sides of the connection are closed
	Reset     Kind = "reset"      // both sides are closed by a TCP reset
	HalfClose Kind = "half_close" // this direction is closed for writing
	Silence   Kind = "silence"    // data are held until the rule ends
	Garble    Kind = "garble"     // one byte is changed
	Mute      Kind = "mute"       // new connections are accepted and not served
	Refuse    Kind = "refuse"     // new connections are refused
)

// Kinds lists all kinds.
var Kinds = []Kind{Delay, Rate, Loss, Cut, Reset, HalfClose, Silence, Garble, Mute, Refuse}

// Side is a direction through an endpoint.
type Side string

// The sides.
const (
	Request Side = "request" // from the client to the target
	Answer  Side = "answer"  // from the target to the client
	Both    Side = "both"
)

// Points in a stream at which a fault can apply. All except Text require that the
// stream is HTTP/1.1.
const (
	Head    = "head"    // the nth message's head has passed
	Message = "message" // the nth message has passed
	Chunk   = "chunk"   // the size line of the nth chunk is next (counted over all messages)
	Data    = "data"    // the data of the nth chunk are next
	Text    = "text"    // the nth occurrence of a text has passed
)

var points = []string{Head, Message, Chunk, Data, Text}

// Rule is a fault. Times and durations are in seconds; At counts from the plan's
// start.
type Rule struct {
	ID        int      `json:"id"`
	Kind      Kind     `json:"kind"`
	Endpoints []string `json:"doors,omitempty"` // empty: all
	Side      Side     `json:"side,omitempty"`  // empty: both
	At        float64  `json:"at"`
	Duration  float64  `json:"for,omitempty"`  // 0: until the rule is removed
	Fraction  float64  `json:"part,omitempty"` // of the connections, from 0 to 1; 0: all

	Delay  float64 `json:"delay,omitempty"`
	Jitter float64 `json:"jitter,omitempty"` // upper bound of a uniform addition to Delay
	Rate   float64 `json:"rate,omitempty"`   // bytes per second
	Loss   float64 `json:"loss,omitempty"`   // fraction of the datagrams, from 0 to 1

	// Where in each connection's stream the fault applies: after a number of
	// bytes or at a point. If neither is set, it applies as soon as the rule is
	// active; Garble then changes the next byte.
	Byte  int64  `json:"byte,omitempty"`
	After string `json:"after,omitempty"`
	Nth   int    `json:"nth,omitempty"` // occurrence of the point; 0: the first
	Text  string `json:"text,omitempty"`
}

// appliesOnce reports whether a rule applies once, at a point of each
// connection's stream.
func (r *Rule) appliesOnce() bool {
	switch r.Kind {
	case Cut, Reset, HalfClose, Silence, Garble:
		return true
	}
	return false
}

func (r *Rule) appliesTo(endpoint string) bool {
	return len(r.Endpoints) == 0 || slices.Contains(r.Endpoints, endpoint)
}

func (r *Rule) appliesToSide(side Side) bool {
	return r.Side == "" || r.Side == Both || r.Side == side
}

// Active reports whether the rule is in force at a time.
func (r *Rule) Active(now float64) bool { return now >= r.At && now < r.End() }

// End returns the time at which the rule ends, or infinity if it has no end.
func (r *Rule) End() float64 {
	if r.Duration == 0 {
		return math.Inf(1)
	}
	return r.At + r.Duration
}
