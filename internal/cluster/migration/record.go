package migration

// Step is the operation of a record.
type Step string

// The steps. Only StepReceive is caused by another cluster's message.
const (
	StepSetCapacity  Step = "capacity" // sets the capacity to Amount
	StepReserve      Step = "reserve"  // adds Amount, which may be negative, to a service's reservation
	StepBeginMove    Step = "offer"    // the source begins a move and offers Amount
	StepReceive      Step = "hear"     // applies a received Message
	StepShift        Step = "shift"    // debits Amount, which the other side is to credit
	StepPassToken    Step = "turn"     // passes the token to the other side
	StepSetDirection Step = "want"     // sets the Direction that the source's config requests
	StepFinish       Step = "free"     // ends a move whose full amount is on one side
	StepForceRelease Step = "release"  // ends the move on this side in its present state, at an operator's command
)

// issuesNumber reports whether a step is allowed only after all earlier numbers are acknowledged.
func (s Step) issuesNumber() bool { return s == StepShift || s == StepPassToken || s == StepFinish }

// Record is one step that the instances of a cluster have agreed on.
type Record struct {
	Step      Step
	Service   string // for StepReserve
	Move      Key
	Seq       uint64 // of the move; 0 for StepBeginMove
	Amount    Amount
	Direction Direction
	Message   Message
}

// RecordFor returns the record for a received message and whether applying it would
// change the state. If the message can't be applied the error is a *StaleMoveError or
// a *MoveRejectedError.
func (s *State) RecordFor(message Message) (r Record, changes bool, err error) {
	message.Advice = Advice{}
	next, err := s.receive(message)
	return Record{Step: StepReceive, Message: message}, next != s, err
}

// DueRecords returns the records that follow from the requested directions alone:
// passes of the token, and the end of moves whose full amount is back at the source.
// The [Pacer] decides on shifts, and the caller ends a settled move after its queues
// and clients are handed off.
func (s *State) DueRecords() (records []Record) {
	for i := range s.Moves {
		m := &s.Moves[i]
		if step := m.dueStep(); step != "" {
			records = append(records, Record{
				Step: step,
				Move: m.ID.Key,
				Seq:  m.ID.Seq,
			})
		}
	}
	return records
}

// dueStep returns the step that the requested direction calls for, or "" if none.
func (m *Move) dueStep() Step {
	switch {
	case !m.mayIssue():
		return ""
	case m.Request.Direction == Backward && m.allAtSource():
		return StepFinish
	case m.Source && m.Request.Direction == Backward:
		return StepPassToken
	case !m.Source && m.Request.Direction == Forward:
		return StepPassToken
	}
	return ""
}

// allAtSource reports whether, by this side's record, the full amount is at the source.
func (m *Move) allAtSource() bool {
	if m.Source {
		return m.Local == m.Amount
	}
	return m.Local == 0
}
