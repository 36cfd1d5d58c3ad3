package migration

import "fmt"

// Apply returns the state after a record. If the record is not allowed, Apply returns s
// and an *InsufficientCapacityError, a *MoveRejectedError or a *StaleMoveError. A message
// without new content changes nothing and is no error.
func (s *State) Apply(r Record) (*State, error) {
	switch r.Step {
	case StepSetCapacity:
		return s.setCapacity(r.Amount)
	case StepReserve:
		return s.reserve(r)
	case StepBeginMove:
		return s.beginMove(r)
	case StepReceive:
		return s.receive(r.Message)
	}
	i, ok := s.findMove(r.Move)
	if !ok || s.Moves[i].ID.Seq != r.Seq {
		return s, s.staleError(ID{Key: r.Move, Seq: r.Seq})
	}
	m := s.Moves[i]
	next := *s
	if err := next.applyToMove(&m, r); err != nil {
		return s, err
	}
	if m == s.Moves[i] {
		return s, nil
	}
	next.replaceMove(i, m)
	return &next, nil
}

func (r Record) rejected(format string, args ...any) error {
	return &MoveRejectedError{Move: r.Move, Reason: fmt.Sprintf(format, args...)}
}

// applyToMove applies a record to an open move, and changes the reservation accordingly.
// Both s and m must be copies that have not been returned yet.
func (s *State) applyToMove(m *Move, r Record) error {
	if m.End != Open {
		return r.rejected("the move has already ended on this side (%s)", m.End)
	}
	if m.Unacknowledged != "" && r.Step.issuesNumber() {
		return r.rejected("number %d is not yet acknowledged by the other cluster", m.Number)
	}
	switch r.Step {
	case StepShift:
		return s.shift(m, r)
	case StepPassToken:
		return m.passToken(r)
	case StepSetDirection:
		return m.setDirection(r)
	case StepFinish:
		return m.finish(r)
	case StepForceRelease:
		m.End = ForceReleased
		return nil
	}
	return r.rejected("unknown step %q", r.Step)
}

func (s *State) shift(m *Move, r Record) error {
	if r.Amount <= 0 || r.Amount > m.Shiftable() {
		return r.rejected("a shift of %.6g slot-starts a second is not positive, or exceeds the allowed %.6g",
			r.Amount.SlotStarts(), m.Shiftable().SlotStarts())
	}
	m.Number++
	m.Unacknowledged = MessageShift
	m.InTransit = r.Amount
	m.Local -= r.Amount
	s.addReservation(r.Move.Service, -r.Amount)
	return nil
}

func (m *Move) passToken(r Record) error {
	allowed := m.HasToken
	if m.Source {
		allowed = allowed && m.DestinationReady && m.Request.Direction == Backward
	} else {
		allowed = allowed && m.Request.Direction == Forward
	}
	if !allowed {
		return r.rejected("this side may not pass the token now")
	}
	m.Number++
	m.Unacknowledged = MessageTokenPass
	m.HasToken = false
	return nil
}

func (m *Move) setDirection(r Record) error {
	if !m.Source || !r.Direction.valid() {
		return r.rejected("direction %q is invalid, or this cluster is not the source", r.Direction)
	}
	if m.Request.Direction != r.Direction {
		m.Request.Number++
		m.Request.Direction = r.Direction
	}
	return nil
}

func (m *Move) finish(r Record) error {
	if !m.HasToken || m.Local != 0 && m.Local != m.Amount {
		return r.rejected("this side lacks the token, or has only a part: %.6g of %.6g slot-starts a second",
			m.Local.SlotStarts(), m.Amount.SlotStarts())
	}
	m.End = Completed
	return nil
}

func (s *State) setCapacity(capacity Amount) (*State, error) {
	if capacity < 0 || capacity > MaxAmount {
		return s, &MoveRejectedError{Reason: fmt.Sprintf("capacity %d is out of range", capacity)}
	}
	next := *s
	next.Capacity = capacity
	return &next, nil
}

func (s *State) reserve(r Record) (*State, error) {
	if err := s.checkReserve(r); err != nil {
		return s, err
	}
	next := *s
	next.addReservation(r.Service, r.Amount)
	return &next, nil
}

func (s *State) checkReserve(r Record) error {
	reserved := s.Usable(r.Service)
	outOfRange := r.Amount < -MaxAmount || reserved+r.Amount > MaxAmount
	tooMany := reserved == 0 && len(s.Reserved) >= MaxServices
	if !validName(r.Service) || outOfRange || tooMany {
		return &MoveRejectedError{
			Move:   Key{Service: r.Service},
			Reason: "invalid service name, amount out of range, or too many services",
		}
	}
	if s.Unclaimed(r.Service)+r.Amount < 0 {
		return &MoveRejectedError{
			Move:   Key{From: s.Cluster, Service: r.Service},
			Reason: "open moves need the reservation: reverse them or let them end first",
		}
	}
	if r.Amount <= 0 {
		return nil
	}
	if missing := r.Amount - s.Ledger().Free(); missing > 0 {
		return &InsufficientCapacityError{Cluster: s.Cluster, Missing: missing}
	}
	return nil
}

func (s *State) beginMove(r Record) (*State, error) {
	id := ID{Key: r.Move, Seq: 1}
	i, replaces := s.findMove(r.Move)
	if replaces {
		id.Seq = s.Moves[i].ID.Seq + 1
	}
	if err := s.checkBegin(r, i, replaces); err != nil {
		return s, err
	}
	next := *s
	next.insertMove(i, replaces, Move{
		ID:       id,
		Source:   true,
		Amount:   r.Amount,
		Local:    r.Amount,
		HasToken: true,
		Request:  DirectionRequest{Number: 1, Direction: Forward},
	})
	return &next, nil
}

func (s *State) checkBegin(r Record, i int, replaces bool) error {
	key := r.Move
	unclaimed := s.Unclaimed(key.Service)
	switch {
	case replaces && !s.Moves[i].Closed:
		return r.rejected("the previous move of this service to that cluster has not ended on both sides")
	case key.From != s.Cluster || key.To == s.Cluster || !validName(key.To) || !validName(key.Service):
		return r.rejected("it is not from this cluster to another, or a name is invalid")
	case r.Amount <= 0 || r.Amount > unclaimed:
		return r.rejected("the amount is not positive, or exceeds the %.6g slot-starts a second in no other move",
			unclaimed.SlotStarts())
	case !replaces && len(s.Moves) >= MaxMoves:
		return tooManyMovesError(key)
	}
	return nil
}

func tooManyMovesError(key Key) error {
	return &MoveRejectedError{
		Move:   key,
		Reason: fmt.Sprintf("this cluster already stores the maximum of %d moves", MaxMoves),
	}
}
