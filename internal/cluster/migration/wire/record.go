package wire

import "example.org/bellstream/internal/cluster/migration"

// MarshalRecord encodes a record.
func MarshalRecord(r migration.Record) []byte {
	encoded := &RecordProto{
		Version:    Version,
		MinVersion: MinVersion,
		Step:       indexOf(steps, r.Step),
		Service:    r.Service,
		Amount:     int64(r.Amount),
		Direction:  indexOf(directions, r.Direction),
	}
	if r.Move != (migration.Key{}) {
		encoded.Move = encodeID(migration.ID{Key: r.Move, Seq: r.Seq})
	}
	if r.Step == migration.StepReceive {
		encoded.Message = encodeMessage(r.Message)
	}
	return marshal(encoded)
}

// UnmarshalRecord decodes a record. It does not check whether the record is allowed, which
// State.Apply does.
func UnmarshalRecord(raw []byte) (migration.Record, error) {
	var encoded RecordProto
	if err := unmarshal(raw, &encoded, MaxPacketBytes); err != nil {
		return migration.Record{}, err
	}
	var d decoder
	r := migration.Record{
		Step:      enum(&d, steps, encoded.Step),
		Service:   encoded.Service,
		Amount:    migration.Amount(encoded.Amount),
		Direction: enum(&d, directions, encoded.Direction),
	}
	d.require(r.Step != "" && len(r.Service) <= migration.MaxName)
	d.require(r.Amount >= -migration.MaxAmount && r.Amount <= migration.MaxAmount)
	if encoded.Move != nil {
		id := d.id(encoded.Move)
		r.Move = id.Key
		r.Seq = id.Seq
	}
	if r.Step == migration.StepReceive {
		r.Message = d.message(encoded.Message)
	}
	if d.invalid {
		return migration.Record{}, ErrCorrupt
	}
	return r, nil
}
