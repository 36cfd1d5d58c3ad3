package migration

// MessageType is the type of a message between clusters. The values are those on the wire.
type MessageType string

// The message types. Each message also acknowledges the last number that its sender has applied.
const (
	MessageOffer     MessageType = "offer"  // the source asks the destination to hold capacity for Amount
	MessageHold      MessageType = "hold"   // the destination holds capacity for the move's full amount
	MessageReject    MessageType = "refuse" // the destination rejects the offer, as it lacks Amount of capacity
	MessageShift     MessageType = "shift"  // the sender has debited Amount as step Number; the receiver credits it
	MessageAck       MessageType = "credit" // the sender has applied all numbers up to Number
	MessageTokenPass MessageType = "turn"   // step Number passes the token to the receiver
	MessageSettled   MessageType = "settle" // from the source: the full amount is at the destination
	MessageDone      MessageType = "done"   // the sender has ended the move: it applies and issues no later number
)

// Advice holds observations of a message's sender. They do not become part of a state;
// only the [Pacer] reads them.
type Advice struct {
	CapacityStep   Amount // largest next shift that the sender can take; see [Pacer.CapacityStep]
	Jobs           uint64 // jobs of the service that ended at the sender since it last applied a number
	PriorityWeight uint64 // earned by these jobs, in thousandths of a job that is answered in time
	ServedPPM      uint32 // served fraction of the sender's ledger, in millionths
}

// Message is sent by one side of a move to the other.
type Message struct {
	Type    MessageType
	ID      ID
	Source  bool // the sender is the move's source
	Number  uint64
	Amount  Amount
	Request DirectionRequest // the source's latest, as known to the sender
	Advice  Advice
}

// Outbox returns the messages to send. Each is to be resent for as long as Outbox
// returns it. Only the outbox of a state that is in force may be sent.
func (s *State) Outbox() (messages []Message) {
	for i := range s.Moves {
		m := &s.Moves[i]
		if m.End == Open || m.Unacknowledged != "" || m.Source && !m.Closed {
			messages = append(messages, m.nextMessage())
		}
	}
	return messages
}

// Answer returns the reply to a message. ok is false if no reply is due: the move is
// unknown here, or [State.Outbox] sends the reply anyway. Two sides never answer each
// other's answers endlessly.
func (s *State) Answer(received Message) (answer Message, ok bool) {
	i, found := s.findMove(received.ID.Key)
	if !found || s.Moves[i].ID.Seq != received.ID.Seq || s.Moves[i].Source == received.Source {
		return Message{}, false
	}
	m := &s.Moves[i]
	switch received.Type {
	case MessageOffer, MessageShift, MessageTokenPass:
		return m.nextMessage(), true
	case MessageDone, MessageReject:
		return m.nextMessage(), !m.Source
	default: // only an open side sends these
		return m.nextMessage(), m.End != Open
	}
}

// nextMessage returns the message that the move's state calls for; MessageAck if nothing else is due.
func (m *Move) nextMessage() Message {
	message := Message{
		Type:    MessageAck,
		ID:      m.ID,
		Source:  m.Source,
		Number:  m.Number,
		Request: m.Request,
	}
	switch {
	case m.Unacknowledged != "":
		message.Type = m.Unacknowledged
		message.Amount = m.InTransit
	case m.End == Rejected && !m.Source:
		message.Type = MessageReject
		message.Amount = m.Shortfall
	case m.End != Open:
		message.Type = MessageDone
	case m.Source && !m.DestinationReady:
		message.Type = MessageOffer
		message.Amount = m.Amount
	case m.Stage() == StageSettled && m.Source:
		message.Type = MessageSettled
	case !m.Source && m.Number == 0:
		message.Type = MessageHold
	}
	return message
}
