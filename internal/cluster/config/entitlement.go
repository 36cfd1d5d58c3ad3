package config

// entitlement is the part of the fleet that a tenant may use, and the cluster of that part.
type entitlement struct {
	amount          float64 // slot-starts per second
	platformDefault bool    // the platform's setting applies, which is not in any table
	cluster         string  // empty if the tenant is not placed or the ledger decides
}

var noEntitlement = entitlement{}

// entitlement returns what both the reservation and the capacity ledger allow a tenant.
func (t *Table) entitlement(tenant string) entitlement {
	e := t.reservationEntitlement(tenant)
	entry, inLedger := find(t.LedgerEntries, tenant)
	if !inLedger || e.platformDefault {
		return e
	}
	e.amount = min(e.amount, entry.Usable)
	if e.amount == 0 {
		return noEntitlement
	}
	return e
}

// reservationEntitlement returns what the reservation allows. It has no cluster for
// a service in the ledger, whose amount is usable here wherever the service is placed.
func (t *Table) reservationEntitlement(tenant string) entitlement {
	entry, _ := t.Tenant(tenant)
	placement, _ := t.Placement(tenant)
	switch {
	case t.Strict, entry.Reservation != nil && *entry.Reservation == 0:
		return noEntitlement
	case entry.Reservation == nil:
		return entitlement{platformDefault: true, cluster: placement.Cluster}
	}
	if _, inLedger := find(t.LedgerEntries, tenant); inLedger {
		return entitlement{amount: *entry.Reservation}
	}
	return entitlement{amount: *entry.Reservation, cluster: placement.Cluster}
}

// intersectEntitlements returns what both allow.
func intersectEntitlements(a, b entitlement) entitlement {
	switch {
	case a.isWithin(b):
		return a
	case b.isWithin(a):
		return b
	}
	return noEntitlement
}

// isWithin reports whether e allows no more than other.
func (e entitlement) isWithin(other entitlement) bool {
	if e == noEntitlement || e == other {
		return true
	}
	return e.cluster == other.cluster && !e.platformDefault && !other.platformDefault && e.amount <= other.amount
}
