package wire

import (
	"slices"

	"example.org/bellstream/internal/cluster/migration"
)

// MarshalMessages encodes messages to one other cluster as packets of at most MaxMessages.
func MarshalMessages(messages []migration.Message) (packets [][]byte) {
	for part := range slices.Chunk(messages, MaxMessages) {
		packet := &PacketProto{Version: Version, MinVersion: MinVersion}
		for _, m := range part {
			packet.Messages = append(packet.Messages, encodeMessage(m))
		}
		packets = append(packets, marshal(packet))
	}
	return packets
}

// UnmarshalMessages decodes one packet. Errors are ErrTooLarge, ErrCorrupt and
// ErrUnsupportedVersion.
func UnmarshalMessages(raw []byte) (messages []migration.Message, err error) {
	var packet PacketProto
	if err := unmarshal(raw, &packet, MaxPacketBytes); err != nil {
		return nil, err
	}
	if len(packet.Messages) > MaxMessages {
		return nil, ErrTooLarge
	}
	var d decoder
	for _, encoded := range packet.Messages {
		m := d.message(encoded)
		if d.invalid {
			return nil, ErrCorrupt
		}
		messages = append(messages, m)
	}
	return messages, nil
}

func encodeMessage(m migration.Message) *MessageProto {
	return &MessageProto{
		Type:           indexOf(messageTypes, m.Type),
		Id:             encodeID(m.ID),
		Source:         m.Source,
		Number:         m.Number,
		Amount:         uint64(m.Amount),
		RequestNumber:  m.Request.Number,
		Direction:      indexOf(directions, m.Request.Direction),
		CapacityStep:   uint64(m.Advice.CapacityStep),
		Jobs:           m.Advice.Jobs,
		PriorityWeight: m.Advice.PriorityWeight,
		ServedPpm:      m.Advice.ServedPPM,
	}
}

func (d *decoder) message(encoded *MessageProto) migration.Message {
	m := migration.Message{
		Type:    enum(d, messageTypes, encoded.GetType()),
		ID:      d.id(encoded.GetId()),
		Source:  encoded.GetSource(),
		Number:  encoded.GetNumber(),
		Amount:  d.amount(encoded.GetAmount()),
		Request: d.request(encoded.GetRequestNumber(), encoded.GetDirection()),
		Advice: migration.Advice{
			CapacityStep:   d.amount(encoded.GetCapacityStep()),
			Jobs:           encoded.GetJobs(),
			PriorityWeight: encoded.GetPriorityWeight(),
			ServedPPM:      encoded.GetServedPpm(),
		},
	}
	d.require(m.Type != "" && m.Request.Direction != "" && m.ID.Seq > 0)
	if m.Type == migration.MessageOffer || m.Type == migration.MessageShift {
		d.require(m.Amount > 0)
	}
	return m
}
