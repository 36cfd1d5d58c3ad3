// Package wiretest has helpers for tests of network connections: scripted clients
// and servers, and functions that wait for a condition with a timeout.
package wiretest

import (
	"testing"
	"time"
)

// stepTimeout bounds each wait of a test; after it the test fails.
const stepTimeout = 10 * time.Second

// pollInterval is the interval at which Until checks its condition.
const pollInterval = 50 * time.Microsecond

// Steps calls f for each byte of fuzzed data, at most limit times.
func Steps(data []byte, limit int, f func(step byte)) {
	for _, step := range data[:min(len(data), limit)] {
		f(step)
	}
}

// Get receives the next value from a channel. It fails the test if none arrives within
// stepTimeout; what describes the value in the message.
func Get[T any](t *testing.T, values <-chan T, what string) (value T) {
	t.Helper()
	select {
	case value = <-values:
	case <-time.After(stepTimeout):
		t.Fatalf("timed out waiting for %s", what)
	}
	return value
}

// Until polls a condition until it is true. It fails the test if that takes longer than
// stepTimeout; what describes the condition in the message.
func Until(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(stepTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(pollInterval)
	}
}
