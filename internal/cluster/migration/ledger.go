package migration

import (
	"slices"
	"strings"
)

// Account is a ledger's entry for one service.
type Account struct {
	Service   string
	Reserved  Amount // usable at this cluster
	Escrowed  Amount // kept free for amounts that may arrive or return; not usable
	InTransit Amount // debited at this cluster and not yet known to be credited at another
}

// Total returns the full amount that the account promises.
func (a Account) Total() Amount { return a.Reserved + a.Escrowed + a.InTransit }

// CapacityLedger is a cluster's capacity and the amounts promised from it.
type CapacityLedger struct {
	Cluster  string
	Capacity Amount
	Accounts []Account // sorted by service, without duplicates
}

// Account returns a service's account, or one with zero amounts if the ledger has none.
func (l *CapacityLedger) Account(service string) Account {
	i, ok := slices.BinarySearchFunc(l.Accounts, service, compareAccount)
	if !ok {
		return Account{Service: service}
	}
	return l.Accounts[i]
}

func compareAccount(a Account, service string) int { return strings.Compare(a.Service, service) }

// Promised returns the sum of the totals of all accounts.
func (l *CapacityLedger) Promised() (sum Amount) {
	for _, a := range l.Accounts {
		sum += a.Total()
	}
	return sum
}

// Free returns the amount that can still be promised. It is negative if the capacity
// has fallen below the promised amount.
func (l *CapacityLedger) Free() Amount { return l.Capacity - l.Promised() }

// ServedFraction returns the fraction served/promised of every promise that the
// capacity covers, or 1/1 if it covers all of them. While the capacity is insufficient
// the accounts stay unchanged, and all of them are served in this proportion.
func (l *CapacityLedger) ServedFraction() (served, promised Amount) {
	if sum := l.Promised(); sum > l.Capacity {
		return max(l.Capacity, 0), sum
	}
	return 1, 1
}

// Usable returns the amount that a service may use at this cluster now, which is its
// reservation scaled by the served fraction. The sum over all accounts never exceeds
// the capacity.
func (l *CapacityLedger) Usable(service string) Amount {
	served, promised := l.ServedFraction()
	return scale(l.Account(service).Reserved, served, promised)
}

// UsableReservations returns what Usable returns for each service, in the order of Accounts.
func (l *CapacityLedger) UsableReservations() []Reservation {
	served, promised := l.ServedFraction()
	list := make([]Reservation, len(l.Accounts))
	for i, a := range l.Accounts {
		list[i] = Reservation{
			Service: a.Service,
			Amount:  scale(a.Reserved, served, promised),
		}
	}
	return list
}

// ServedPPM returns the served fraction in millionths, rounded down.
func (l *CapacityLedger) ServedPPM() uint32 {
	served, promised := l.ServedFraction()
	return uint32(scale(millionths, served, promised))
}
