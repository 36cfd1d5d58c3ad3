package wire

import "example.org/bellstream/internal/cluster/migration"

// MarshalState encodes a state for storage.
func MarshalState(s *migration.State) []byte {
	encoded := &StateProto{
		Version:    Version,
		MinVersion: MinVersion,
		Cluster:    s.Cluster,
		Capacity:   uint64(s.Capacity),
	}
	for _, r := range s.Reserved {
		encoded.Service = append(encoded.Service, r.Service)
		encoded.Reserved = append(encoded.Reserved, uint64(r.Amount))
	}
	for i := range s.Moves {
		encoded.Moves = append(encoded.Moves, encodeMove(&s.Moves[i]))
	}
	return marshal(encoded)
}

// UnmarshalState decodes a state. It returns ErrCorrupt for a state that State.Valid rejects.
func UnmarshalState(raw []byte) (*migration.State, error) {
	var encoded StateProto
	if err := unmarshal(raw, &encoded, MaxStateBytes); err != nil {
		return nil, err
	}
	services := len(encoded.Service)
	if services != len(encoded.Reserved) || services > migration.MaxServices {
		return nil, ErrCorrupt
	}
	if len(encoded.Moves) > migration.MaxMoves {
		return nil, ErrCorrupt
	}
	var d decoder
	s := &migration.State{
		Cluster:  encoded.Cluster,
		Capacity: d.amount(encoded.Capacity),
	}
	for i, service := range encoded.Service {
		s.Reserved = append(s.Reserved, migration.Reservation{
			Service: service,
			Amount:  d.amount(encoded.Reserved[i]),
		})
	}
	for _, m := range encoded.Moves {
		s.Moves = append(s.Moves, d.move(m))
	}
	if d.invalid || !s.Valid() {
		return nil, ErrCorrupt
	}
	return s, nil
}

func encodeMove(m *migration.Move) *MoveProto {
	return &MoveProto{
		Id:               encodeID(m.ID),
		Source:           m.Source,
		Amount:           uint64(m.Amount),
		Local:            uint64(m.Local),
		Number:           m.Number,
		HasToken:         m.HasToken,
		Unacknowledged:   indexOf(messageTypes, m.Unacknowledged),
		InTransit:        uint64(m.InTransit),
		DestinationReady: m.DestinationReady,
		RequestNumber:    m.Request.Number,
		Direction:        indexOf(directions, m.Request.Direction),
		End:              indexOf(ends, m.End),
		Closed:           m.Closed,
		Shortfall:        uint64(m.Shortfall),
	}
}

func (d *decoder) move(encoded *MoveProto) migration.Move {
	return migration.Move{
		ID:               d.id(encoded.GetId()),
		Source:           encoded.GetSource(),
		Amount:           d.amount(encoded.GetAmount()),
		Local:            d.amount(encoded.GetLocal()),
		Number:           encoded.GetNumber(),
		HasToken:         encoded.GetHasToken(),
		Unacknowledged:   enum(d, messageTypes, encoded.GetUnacknowledged()),
		InTransit:        d.amount(encoded.GetInTransit()),
		DestinationReady: encoded.GetDestinationReady(),
		Request:          d.request(encoded.GetRequestNumber(), encoded.GetDirection()),
		End:              enum(d, ends, encoded.GetEnd()),
		Closed:           encoded.GetClosed(),
		Shortfall:        d.amount(encoded.GetShortfall()),
	}
}
