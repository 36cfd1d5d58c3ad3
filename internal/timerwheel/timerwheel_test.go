package timerwheel

import (
	"slices"
	"testing"
)

func TestTimersFireAtTheirTick(t *testing.T) {
	w := New[string](0.004, 100)
	w.Set(100.010, "b") // tick 100.012
	w.Set(100.001, "a")
	w.Set(99, "past") // fires at the next tick
	far := w.Set(103, "far")
	w.Set(102.5, "later revolution") // more than one revolution of the wheel ahead
	for _, c := range []struct {
		now  float64
		want []string
	}{
		{100.003, nil}, {100.004, []string{"a", "past"}}, {100.011, nil}, {100.012, []string{"b"}},
		{100.5, nil}, {102.499, nil}, {102.5, []string{"later revolution"}},
	} {
		if got := w.Advance(c.now); !slices.Equal(got, c.want) {
			t.Errorf("at %v: got %v, want %v", c.now, got, c.want)
		}
		if next, ok := w.Next(); ok && next <= c.now {
			t.Errorf("at %v: Next returned %v, want a later time", c.now, next)
		}
	}
	if far.Stop(); far.value != "" {
		t.Errorf("a stopped timer still holds value %q", far.value)
	}
	if got := w.Advance(110); got != nil {
		t.Errorf("Advance returned %v after Stop, want nothing", got)
	}
	if _, ok := w.Next(); ok {
		t.Error("Next returned true for an empty wheel")
	}
}

// When many revolutions pass between two calls of Advance, exactly the timers that became due must fire.
func TestAdvanceOverManyRevolutions(t *testing.T) {
	w := New[int](0.004, 0)
	for i := range 3000 {
		w.Set(float64(i)*0.01, i)
	}
	if got := w.Advance(20); len(got) != 2001 {
		t.Errorf("%d timers fired, want 2001", len(got))
	}
	if got := w.Advance(40); len(got) != 999 {
		t.Errorf("%d timers fired, want 999", len(got))
	}
}

// SetTick must not lose a timer, and must not make it fire early, or late by more than the sum of the old and the new
// tick, to which its time is rounded up. Stopped timers must stay stopped.
func TestSetTick(t *testing.T) {
	for _, ticks := range [][2]float64{{0.004, 0.001}, {0.001, 0.004}, {0.004, 0.004}} {
		start := 1.7e9
		w := New[int](ticks[0], start)
		for i := range 3000 { // up to many revolutions with either tick
			w.Set(start+float64(i)*0.0037, i)
		}
		stopped := w.Set(start+1, -1)
		w.Advance(start + 0.1)
		w.SetTick(ticks[1], start+0.1)
		stopped.Stop()
		at := map[int]float64{}
		for now := start + 0.1; now < start+12; now += 0.001 {
			for _, i := range w.Advance(now) {
				at[i] = now
			}
		}
		for i := 28; i < 3000; i++ { // the earlier ones may have fired before SetTick
			want := start + float64(i)*0.0037
			if late := at[i] - want; late < -0.0011 || late > ticks[0]+ticks[1]+0.001 {
				t.Fatalf("ticks %v: timer %d fired %v s after its time", ticks, i, late)
			}
		}
		if _, ok := at[-1]; ok || len(at) > 2973 {
			t.Errorf("ticks %v: %d timers fired, want at most 2973; stopped timer fired: %v, want false", ticks, len(at), ok)
		}
		if _, ok := w.Next(); ok {
			t.Errorf("ticks %v: Next returned true after all timers have fired", ticks)
		}
	}
}
