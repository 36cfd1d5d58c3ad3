package migration

import (
	"math"
	"math/bits"
)

// Amount is capacity or a part of a reservation, in millionths of a slot-start
// per second. It is an integer so that sums are exact.
type Amount int64

// SlotStart is one slot-start per second.
const SlotStart Amount = 1_000_000

// These limits ensure that every sum of amounts fits in an Amount.
const (
	MaxAmount   Amount = 1 << 46 // 70 million slot-starts per second
	MaxServices        = 4096    // in one cluster
	MaxMoves           = 1 << 14 // stored by one cluster: the latest of each Key
	MaxName            = 255     // length in bytes of a cluster's or a service's name
)

const millionths = 1_000_000

// SlotStarts returns the amount in slot-starts per second.
func (a Amount) SlotStarts() float64 { return float64(a) / float64(SlotStart) }

// scale returns a*part/total, rounded down. It requires 0 <= part <= total and total > 0.
func scale(a, part, total Amount) Amount {
	high, low := bits.Mul64(uint64(a), uint64(part))
	quotient, _ := bits.Div64(high, low, uint64(total))
	return Amount(quotient)
}

// amountOf converts slot-starts per second to an Amount, rounded down and limited to
// the range from 0 to MaxAmount. NaN gives 0.
func amountOf(slotStarts float64) Amount {
	if math.IsNaN(slotStarts) || slotStarts <= 0 {
		return 0
	}
	return Amount(math.Min(math.Floor(slotStarts*float64(SlotStart)), float64(MaxAmount)))
}
