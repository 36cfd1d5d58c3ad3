package coordinator

import (
	"errors"
	"fmt"
	"slices"

	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/migration"
)

// Status is a cluster's migration status for operators. Amounts are in slot-starts per second, the
// unit of reservations.
type Status struct {
	Self      string          `json:"self"`
	Version   uint64          `json:"version"` // of the config
	Capacity  float64         `json:"capacity"`
	Free      float64         `json:"free"` // negative if the capacity fell below the promised amount
	ServedPPM uint32          `json:"cut"`  // served fraction of every promise, in millionths
	Accounts  []AccountStatus `json:"lines"`
	Moves     []MoveStatus    `json:"moves"`
	Faults    []string        `json:"trouble,omitempty"`
}

// AccountStatus is the ledger's account of a service.
type AccountStatus struct {
	Service   string  `json:"service"`
	Usable    float64 `json:"usable"` // scaled to the served fraction
	Reserved  float64 `json:"reserved"`
	Escrowed  float64 `json:"held"`
	InTransit float64 `json:"transit"`
}

// MoveStatus is this side's record of the latest move of a service between two clusters.
type MoveStatus struct {
	Service   string              `json:"service"`
	From      string              `json:"from"`
	To        string              `json:"to"`
	Seq       uint64              `json:"move"`
	Stage     migration.Stage     `json:"stage"`
	Direction migration.Direction `json:"way"`
	Amount    float64             `json:"amount"`
	Local     float64             `json:"here"`
	InTransit float64             `json:"out"`
	Number    uint64              `json:"number"`
	EndReason migration.EndReason `json:"ended,omitempty"`
	Reason    string              `json:"why,omitempty"`
}

// StatusOf returns the status of the cluster o.Self according to a table. Its faults include the
// reasons for which services do not move or have no reservation.
func StatusOf(o Options, table *config.Table) *Status {
	status := &Status{
		Self:     o.Self,
		Version:  table.Version,
		Accounts: []AccountStatus{},
		Moves:    []MoveStatus{},
	}
	state, err := State(o.Self, table)
	if err != nil {
		status.Faults = []string{err.Error()}
		return status
	}
	ledger := state.Ledger()
	status.Capacity = ledger.Capacity.SlotStarts()
	status.Free = ledger.Free().SlotStarts()
	status.ServedPPM = ledger.ServedPPM()
	for i, usable := range ledger.UsableReservations() {
		status.Accounts = append(status.Accounts, accountStatus(ledger.Accounts[i], usable.Amount))
	}
	for i := range state.Moves {
		status.Moves = append(status.Moves, moveStatus(&state.Moves[i]))
	}
	for _, err := range blockedPlacements(o, table, state) {
		status.Faults = append(status.Faults, err.Error())
	}
	return status
}

func accountStatus(a migration.Account, usable migration.Amount) AccountStatus {
	return AccountStatus{
		Service:   a.Service,
		Usable:    usable.SlotStarts(),
		Reserved:  a.Reserved.SlotStarts(),
		Escrowed:  a.Escrowed.SlotStarts(),
		InTransit: a.InTransit.SlotStarts(),
	}
}

func moveStatus(m *migration.Move) MoveStatus {
	status := MoveStatus{
		Service:   m.ID.Service,
		From:      m.ID.From,
		To:        m.ID.To,
		Seq:       m.ID.Seq,
		Stage:     m.Stage(),
		Direction: m.Request.Direction,
		Amount:    m.Amount.SlotStarts(),
		Local:     m.Local.SlotStarts(),
		InTransit: m.InTransit.SlotStarts(),
		Number:    m.Number,
		EndReason: m.End,
	}
	if err := m.Err(); err != nil {
		status.Reason = err.Error()
	}
	return status
}

// blockedPlacements returns errors for the placements and reservations of the config that the
// ledger can't follow.
func blockedPlacements(o Options, table *config.Table, state *migration.State) (errs []error) {
	if _, ok := table.Cluster(o.Self); !ok && len(table.Placements) > 0 {
		errs = append(errs, errors.New("rules: no cluster block has this cluster's name, clusters.self: "+
			"its ledger can promise nothing"))
	}
	for _, p := range table.Placements {
		if p.Origin == "" {
			errs = append(errs, blocked(p.Service, "it has no origin: no ledger has its reservation, "+
				"so no cluster uses it; set origin to the cluster where it starts"))
		}
		unknownPeer := p.Cluster != "" && p.Cluster != o.Self && !slices.Contains(o.Peers, p.Cluster)
		if unknownPeer && state.Usable(p.Service) > 0 {
			errs = append(errs, blocked(p.Service, "the clusters block has no peer %q: service stays here", p.Cluster))
		}
		if p.Origin == o.Self {
			errs = append(errs, blockedReservation(p.Service, table, state)...)
		}
	}
	return errs
}

func blocked(service, format string, args ...any) error {
	return &BlockedPlacementError{
		Service: service,
		Reason:  fmt.Sprintf(format, args...),
	}
}

// blockedReservation returns the error, if any, that prevents a changed reservation from being
// entered in the ledger.
func blockedReservation(service string, table *config.Table, state *migration.State) []error {
	tenant, _ := table.Tenant(service)
	if tenant.Reservation == nil {
		return nil
	}
	issued := issuedReservation(service, table)
	change := amountOf(*tenant.Reservation) - amountOf(issued)
	if change == 0 {
		return nil
	}
	record := migration.Record{
		Step:    migration.StepReserve,
		Service: service,
		Amount:  change,
	}
	if _, err := state.Apply(record); err != nil {
		return []error{blocked(service, "the config reserves %g, but %g is entered in this cluster's ledger: %v",
			*tenant.Reservation, issued, err)}
	}
	return nil
}

func issuedReservation(service string, table *config.Table) float64 {
	for _, e := range table.LedgerEntries {
		if e.Service == service {
			return e.Issued
		}
	}
	return 0
}
