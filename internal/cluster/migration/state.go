package migration

import (
	"slices"
	"strings"
	"unicode/utf8"
)

// Reservation is the amount reserved for a service at a cluster.
type Reservation struct {
	Service string
	Amount  Amount
}

func compareReservation(r Reservation, service string) int {
	return strings.Compare(r.Service, service)
}

// State is the result of a cluster's agreed records. It is immutable.
type State struct {
	Cluster  string
	Capacity Amount
	Reserved []Reservation // sorted by service, without duplicates
	// Moves holds the latest move of each key, sorted by key. Ended moves are kept so
	// that late messages of them are recognized.
	Moves []Move
}

// New returns the initial state of a cluster, without capacity or reservations.
func New(cluster string) *State { return &State{Cluster: cluster} }

func (s *State) findMove(k Key) (int, bool) {
	return slices.BinarySearchFunc(s.Moves, k, func(m Move, k Key) int { return m.ID.compare(k) })
}

// Move returns a copy of the latest move of a key, or nil if there is none.
func (s *State) Move(k Key) *Move {
	i, ok := s.findMove(k)
	if !ok {
		return nil
	}
	m := s.Moves[i]
	return &m
}

// Ledger returns the cluster's capacity and the amounts promised from it.
func (s *State) Ledger() *CapacityLedger {
	l := &CapacityLedger{
		Cluster:  s.Cluster,
		Capacity: s.Capacity,
		Accounts: make([]Account, 0, len(s.Reserved)),
	}
	// Reservations and moves are both sorted by service: this merges them.
	next := 0
	for i := range s.Moves {
		m := &s.Moves[i]
		if m.Escrow()+m.InTransit <= 0 {
			continue
		}
		for next < len(s.Reserved) && s.Reserved[next].Service <= m.ID.Service {
			l.addReservation(s.Reserved[next])
			next++
		}
		account := l.lastAccount(m.ID.Service)
		account.Escrowed += m.Escrow()
		account.InTransit += m.InTransit
	}
	for _, r := range s.Reserved[next:] {
		l.addReservation(r)
	}
	return l
}

func (l *CapacityLedger) addReservation(r Reservation) {
	l.Accounts = append(l.Accounts, Account{Service: r.Service, Reserved: r.Amount})
}

// lastAccount returns the last account. If that is another service's, it first appends an
// account for the service.
func (l *CapacityLedger) lastAccount(service string) *Account {
	if n := len(l.Accounts); n == 0 || l.Accounts[n-1].Service != service {
		l.Accounts = append(l.Accounts, Account{Service: service})
	}
	return &l.Accounts[len(l.Accounts)-1]
}

func (s *State) findReservation(service string) (int, bool) {
	return slices.BinarySearchFunc(s.Reserved, service, compareReservation)
}

// Usable returns a service's reservation at this cluster, not scaled by the served fraction.
func (s *State) Usable(service string) Amount {
	if i, ok := s.findReservation(service); ok {
		return s.Reserved[i].Amount
	}
	return 0
}

// Unclaimed returns the part of a service's reservation at this cluster that no open move may
// debit.
func (s *State) Unclaimed(service string) Amount {
	unclaimed := s.Usable(service)
	for i := range s.Moves {
		if m := &s.Moves[i]; m.ID.Service == service && m.End == Open {
			unclaimed -= m.Local
		}
	}
	return unclaimed
}

// addReservation adds an amount, which may be negative, to a service's reservation. It may be
// called only on a copy that has not been returned yet, as states are immutable.
func (s *State) addReservation(service string, a Amount) {
	i, ok := s.findReservation(service)
	s.Reserved = slices.Clone(s.Reserved)
	if !ok {
		s.Reserved = slices.Insert(s.Reserved, i, Reservation{Service: service})
	}
	s.Reserved[i].Amount += a
	if s.Reserved[i].Amount == 0 {
		s.Reserved = slices.Delete(s.Reserved, i, i+1)
	}
}

func (s *State) replaceMove(i int, m Move) {
	s.Moves = slices.Clone(s.Moves)
	s.Moves[i] = m
}

// insertMove stores a new move at index i, where it replaces the key's previous move if there is one.
func (s *State) insertMove(i int, replaces bool, m Move) {
	if replaces {
		s.replaceMove(i, m)
		return
	}
	s.Moves = slices.Insert(slices.Clone(s.Moves), i, m)
}

func (s *State) staleError(id ID) error {
	e := &StaleMoveError{Move: id}
	if i, ok := s.findMove(id.Key); ok {
		e.KnownSeq = s.Moves[i].ID.Seq
	}
	return e
}

func validName(s string) bool { return s != "" && len(s) <= MaxName && utf8.ValidString(s) }

// Valid reports whether a decoded state could result from records, as far as the state
// alone shows. Its lists must be sorted, all moves must be to or from this cluster, and
// no part may be larger than its total.
func (s *State) Valid() bool {
	return s.validReservations() && s.validMoves() && validName(s.Cluster)
}

func (s *State) validReservations() bool {
	for i, r := range s.Reserved {
		sorted := i == 0 || s.Reserved[i-1].Service < r.Service
		if !sorted || !validName(r.Service) || r.Amount <= 0 {
			return false
		}
	}
	return true
}

func (s *State) validMoves() bool {
	claimed := map[string]Amount{}
	for i := range s.Moves {
		m := &s.Moves[i]
		sorted := i == 0 || s.Moves[i-1].ID.compare(m.ID.Key) < 0
		if !sorted || !m.valid(s.Cluster) {
			return false
		}
		if m.End == Open {
			claimed[m.ID.Service] += m.Local
		}
	}
	for service, amount := range claimed {
		if amount > s.Usable(service) {
			return false
		}
	}
	return true
}

// valid reports whether a decoded move is consistent and is to or from the cluster.
func (m *Move) valid(cluster string) bool {
	switch {
	case m.ID.Seq == 0 || m.Source != (m.ID.From == cluster) || !m.Source && m.ID.To != cluster:
		return false
	case !m.Request.Direction.valid() || !m.validUnacknowledged():
		return false
	case m.Local < 0 || m.InTransit < 0 || m.Local+m.InTransit > m.Amount:
		return false
	}
	return !m.Closed || m.End != Open
}

func (m *Move) validUnacknowledged() bool {
	switch m.Unacknowledged {
	case "":
		return m.InTransit == 0
	case MessageTokenPass:
		return m.InTransit == 0 && !m.HasToken
	case MessageShift:
		return m.InTransit > 0 && m.HasToken
	}
	return false
}
