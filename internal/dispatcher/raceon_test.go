//go:build race

package dispatcher

// raceEnabled reports whether the race detector is on. Its runtime crashes ('CHECK failed: tsan_rtl.cpp') when
// many dispatchers run in one synctest bubble after another, so tests use few of them then.
const raceEnabled = true
