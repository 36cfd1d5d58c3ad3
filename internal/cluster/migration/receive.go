package migration

// receive applies a message and returns the resulting state, or s itself if nothing changes.
// It ignores a shift or token pass whose number is not the next one, for example a repeated
// message, and a direction request that is not newer than the known one.
func (s *State) receive(message Message) (*State, error) {
	if !s.addressedHere(message) {
		return s, s.staleError(message.ID)
	}
	i, found := s.findMove(message.ID.Key)
	if message.Source && (!found || s.Moves[i].ID.Seq < message.ID.Seq) {
		return s.receiveOffer(i, found, message)
	}
	if !found || s.Moves[i].ID.Seq != message.ID.Seq {
		return s, s.staleError(message.ID)
	}
	next := *s
	m := s.Moves[i]
	m.updateRequest(message)
	m.acknowledge(message.Number)
	switch message.Type {
	case MessageHold:
		m.DestinationReady = m.DestinationReady || m.Source
	case MessageShift:
		next.credit(&m, message)
	case MessageTokenPass:
		m.takeToken(message)
	case MessageDone, MessageReject:
		next.closeMove(&m, message)
	}
	if m == s.Moves[i] {
		return s, nil
	}
	next.replaceMove(i, m)
	return &next, nil
}

// addressedHere reports whether this cluster is the receiving side of the message's move.
func (s *State) addressedHere(message Message) bool {
	if message.Source {
		return message.ID.To == s.Cluster
	}
	return message.ID.From == s.Cluster
}

// updateRequest stores the source's direction request if it is newer than the known one.
func (m *Move) updateRequest(message Message) {
	if message.Source && message.Request.Number > m.Request.Number {
		m.Request = message.Request
	}
}

// acknowledge clears this side's unacknowledged step if the other side's number shows that the
// other side has applied the step.
func (m *Move) acknowledge(number uint64) {
	if m.Unacknowledged != "" && number >= m.Number {
		m.Unacknowledged = ""
		m.InTransit = 0
	}
}

// accepts reports whether this side may apply a shift or token pass: the move is open, the other
// side has the token, no step of this side is unacknowledged, the message has the next number,
// and its amount does not exceed the rest of the move.
func (m *Move) accepts(message Message) bool {
	expected := message.Number == m.Number+1 && !m.HasToken && m.Unacknowledged == "" && m.End == Open
	return expected && m.Local+message.Amount <= m.Amount
}

func (s *State) credit(m *Move, message Message) {
	if !m.accepts(message) {
		return
	}
	m.Number = message.Number
	m.Local += message.Amount
	s.addReservation(message.ID.Service, message.Amount)
}

func (m *Move) takeToken(message Message) {
	if !m.accepts(message) {
		return
	}
	m.Number = message.Number
	m.HasToken = true
}

// closeMove applies the other side's final message and ends this side too. A shift that
// the other side has not acknowledged by then was never credited and never will be, so
// its amount is returned to this side's reservation.
func (s *State) closeMove(m *Move, message Message) {
	if m.InTransit > 0 {
		m.Local += m.InTransit
		s.addReservation(message.ID.Service, m.InTransit)
	}
	m.Unacknowledged = ""
	m.InTransit = 0
	m.Closed = true
	if m.End != Open {
		return
	}
	m.End = EndedByPeer
	if message.Type == MessageReject {
		m.End = Rejected
		m.Shortfall = message.Amount
	}
}

// receiveOffer applies the first message that a move's destination receives: an offer, or
// the end of a move whose offer never arrived. The new move is inserted at index i. If
// replaces is set, it replaces the move at that index, which must have ended and have no
// unacknowledged step.
func (s *State) receiveOffer(i int, replaces bool, message Message) (*State, error) {
	if replaces && (s.Moves[i].End == Open || s.Moves[i].Unacknowledged != "") {
		return s, s.staleError(message.ID)
	}
	if message.Type != MessageOffer && message.Type != MessageDone {
		return s, s.staleError(message.ID)
	}
	if !replaces && len(s.Moves) >= MaxMoves {
		return s, tooManyMovesError(message.ID.Key)
	}
	m := Move{
		ID:      message.ID,
		Amount:  message.Amount,
		Request: message.Request,
	}
	if message.Type == MessageDone {
		m.End = EndedByPeer
		m.Closed = true
	} else if missing := message.Amount - s.Ledger().Free(); missing > 0 {
		m.End = Rejected
		m.Shortfall = missing
	}
	next := *s
	next.insertMove(i, replaces, m)
	return &next, nil
}
