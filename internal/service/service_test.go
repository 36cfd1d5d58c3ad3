package service

import "testing"

// All that may be open at once must fit, and with few descriptors the targets'
// side must not be starved: a fleet day with 128 ran short at 12 connections.
func TestPlaces(t *testing.T) {
	for _, sockets := range []int{64, 128, 256, 1024, 4096} {
		in, out := places(sockets)
		if all := in + in/16 + 1 + out + 24; all > sockets || all < sockets-4 {
			t.Errorf("%d descriptors: %d may be open", sockets, all)
		}
		if out*3 < in*2 || out > in {
			t.Errorf("%d descriptors: %d for clients, %d for targets", sockets, in, out)
		}
	}
}
