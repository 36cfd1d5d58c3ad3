package usage

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MillislotsPerSlot is the number of counted units in one slot.
const MillislotsPerSlot = 1000

// Millislots converts a size in slots to thousandths of a slot, rounded. It returns 0 for a
// size that is not positive, not a number, or above math.MaxUint32.
func Millislots(slots float64) uint64 {
	if !(slots > 0) || slots > math.MaxUint32 {
		return 0
	}
	return uint64(math.Round(slots * MillislotsPerSlot))
}

// TenantID identifies a tenant between instances. It depends on the tenant's name, quota (in
// jobs a second) and weight. Instances lend each other fractions of a reservation, which are
// different amounts if their settings differ; with different ids they lend each other nothing.
func TenantID(name string, quota, weight float64) uint64 {
	var figures [16]byte
	binary.LittleEndian.PutUint64(figures[:], math.Float64bits(quota))
	binary.LittleEndian.PutUint64(figures[8:], math.Float64bits(weight))
	digest := xxhash.New()
	digest.WriteString(name)
	digest.Write([]byte{0})
	digest.Write(figures[:])
	return digest.Sum64()
}

// Count is how much work of one tenant was started, in thousandths of a slot. Neither
// figure ever decreases.
type Count struct {
	Started  uint64 `json:"Starts"` // sent to a worker
	Refunded uint64 `json:"Backs"`  // the part of Started that is proven never to have run
}

// Net is the amount that the tenant is charged for.
func (c Count) Net() int64 { return int64(c.Started) - int64(c.Refunded) }

// TenantCount is the count of one tenant.
type TenantCount struct {
	Tenant uint64
	Count
}

// Counts are sorted by tenant, each tenant once.
type Counts []TenantCount

// At returns a tenant's count, zero if there is none.
func (c Counts) At(tenant uint64) Count {
	i, found := slices.BinarySearchFunc(c, tenant, func(tc TenantCount, id uint64) int {
		return cmp.Compare(tc.Tenant, id)
	})
	if !found {
		return Count{}
	}
	return c[i].Count
}

// Normalize returns a sorted copy of counts, without zeros. Where a tenant has several, the
// result has the maximum of each figure. Counts from outside must be normalized before use.
func Normalize(list []TenantCount) Counts {
	list = slices.DeleteFunc(slices.Clone(list), func(c TenantCount) bool { return c.Count == Count{} })
	slices.SortFunc(list, func(a, b TenantCount) int { return cmp.Compare(a.Tenant, b.Tenant) })
	counts := list[:0]
	for _, c := range list {
		if n := len(counts); n > 0 && counts[n-1].Tenant == c.Tenant {
			counts[n-1].Count = maxCount(counts[n-1].Count, c.Count)
			continue
		}
		counts = append(counts, c)
	}
	return counts
}

func maxCount(a, b Count) Count {
	return Count{Started: max(a.Started, b.Started), Refunded: max(a.Refunded, b.Refunded)}
}

func addCount(a, b Count) Count {
	return Count{Started: a.Started + b.Started, Refunded: a.Refunded + b.Refunded}
}

// combine applies by to the counts of each tenant in a and b, where a missing count is zero.
// If b changes nothing, it returns a itself and false, so that unchanged lists stay shared.
func combine(a, b Counts, by func(x, y Count) Count) (Counts, bool) {
	if !changes(a, b, by) {
		return a, false
	}
	out := make(Counts, 0, max(len(a), len(b)))
	i, k := 0, 0
	for i < len(a) || k < len(b) {
		switch {
		case k == len(b) || i < len(a) && a[i].Tenant < b[k].Tenant:
			out = append(out, a[i])
			i++
		case i == len(a) || b[k].Tenant < a[i].Tenant:
			out = append(out, TenantCount{Tenant: b[k].Tenant, Count: by(Count{}, b[k].Count)})
			k++
		default:
			out = append(out, TenantCount{Tenant: b[k].Tenant, Count: by(a[i].Count, b[k].Count)})
			i++
			k++
		}
	}
	return out, true
}

// changes reports whether combining a with b gives a result other than a.
func changes(a, b Counts, by func(x, y Count) Count) bool {
	i := 0
	for _, c := range b {
		for i < len(a) && a[i].Tenant < c.Tenant {
			i++
		}
		var before Count
		if i < len(a) && a[i].Tenant == c.Tenant {
			before = a[i].Count
		}
		if by(before, c.Count) != before {
			return true
		}
	}
	return false
}

// addCounts returns the sum of two lists, tenant by tenant.
func addCounts(a, b Counts) Counts {
	sum, _ := combine(a, b, addCount)
	return sum
}
