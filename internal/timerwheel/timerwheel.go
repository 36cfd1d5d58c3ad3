// Package timerwheel keeps timers on a hashed timing wheel with coarse ticks. It reads no clock: the owner passes
// the time, in seconds. A Wheel must not be used by several goroutines at once.
package timerwheel

import "math"

const slotCount = 512

// Timer is one entry of a wheel.
type Timer[T any] struct {
	value   T
	due     int64 // tick number
	stopped bool
}

// Stop keeps a timer from firing. Its entry stays on the wheel until the time at which it would have fired, but its
// value is released at once, because for a deadline it is a request with its body. Stopping a nil or fired timer
// has no effect.
func (t *Timer[T]) Stop() {
	if t != nil {
		var zero T
		t.value, t.stopped = zero, true
	}
}

// Wheel holds timers with values of one type.
type Wheel[T any] struct {
	tick      float64 // seconds
	lastFired int64   // the last tick that has fired
	slots     [slotCount][]*Timer[T]
	count     int
}

// New returns an empty wheel with the given tick and current time, both in seconds.
func New[T any](tick, now float64) *Wheel[T] {
	return &Wheel[T]{tick: tick, lastFired: int64(math.Floor(now / tick))}
}

// Set adds a timer. It fires at the first tick that is at or after the given time, but not before the next tick.
func (w *Wheel[T]) Set(at float64, value T) *Timer[T] {
	t := &Timer[T]{value: value, due: max(int64(math.Ceil(at/w.tick)), w.lastFired+1)}
	s := &w.slots[t.due%slotCount]
	*s = append(*s, t)
	w.count++
	return t
}

// SetTick changes the tick. Timers keep their times, each rounded to the tick with which it was set.
func (w *Wheel[T]) SetTick(tick, now float64) {
	if tick == w.tick {
		return
	}
	old := *w
	*w = *New[T](tick, now)
	for _, s := range old.slots {
		for _, t := range s {
			t.due = max(int64(math.Ceil(float64(t.due)*old.tick/tick-1e-3)), w.lastFired+1)
			w.slots[t.due%slotCount] = append(w.slots[t.due%slotCount], t)
			w.count++
		}
	}
}

// Next returns when the wheel must be advanced next, or false if it is empty. That time may be earlier than the
// next timer by one or more revolutions of the wheel, but never later.
func (w *Wheel[T]) Next() (float64, bool) {
	if w.count == 0 {
		return 0, false
	}
	for n := w.lastFired + 1; ; n++ {
		if len(w.slots[n%slotCount]) > 0 {
			return float64(n) * w.tick, true
		}
	}
}

// Advance advances the wheel to now and returns the values of the timers that fired, in the order of their ticks.
func (w *Wheel[T]) Advance(now float64) (due []T) {
	to := int64(math.Floor(now/w.tick + 1e-3))
	// If more than one revolution has passed, each slot is visited once, and the values are not in the order of
	// their ticks.
	for n := max(w.lastFired+1, to-slotCount+1); n <= to; n++ {
		s := &w.slots[n%slotCount]
		keep := (*s)[:0]
		for _, t := range *s {
			switch {
			case t.stopped:
				w.count--
			case t.due <= to:
				w.count--
				due = append(due, t.value)
			default:
				keep = append(keep, t)
			}
		}
		clear((*s)[len(keep):])
		*s = keep
	}
	w.lastFired = max(w.lastFired, to)
	return due
}
