package lease

import (
	"example.org/bellstream/internal/cluster/lease/pb"
)

// Marshal encodes the entry. For an invalid entry it returns a
// *CorruptMessageError or an *UnsupportedFormatError.
func (e Entry) Marshal() ([]byte, error) {
	if err := e.validate(); err != nil {
		return nil, err
	}
	return marshal(&pb.Entry{
		Kind:         uint32(e.Kind),
		Cluster:      e.Cluster,
		Base:         e.Base,
		Proposer:     e.Proposer,
		Table:        e.Table,
		Exclusive:    e.Exclusive,
		Withdraws:    e.Withdraws,
		Keys:         e.Keys,
		OmittedKeys:  uint32(e.OmittedKeys),
		Version:      e.Version,
		TargetStage:  uint32(e.TargetStage),
		Term:         e.Term,
		LeaseSeconds: e.LeaseSeconds,
	}), nil
}

// UnmarshalEntry decodes an entry. Its error is a *CorruptMessageError, or an
// *UnsupportedFormatError if the entry is from a newer build.
func UnmarshalEntry(raw []byte) (Entry, error) {
	var message pb.Entry
	if err := unmarshal(subjectEntry, raw, MaxEntryBytes, &message); err != nil {
		return Entry{}, err
	}
	if message.Kind > uint32(EntryExtendLease) || len(message.ProtoReflect().GetUnknown()) > 0 {
		return Entry{}, &UnsupportedFormatError{Subject: subjectEntry}
	}
	if message.TargetStage > uint32(StageInForce) || message.OmittedKeys > maxOmittedKeys {
		return Entry{}, &CorruptMessageError{Subject: subjectEntry, Reason: reasonInvalidField}
	}
	e := Entry{
		Kind:         EntryKind(message.Kind),
		Cluster:      message.Cluster,
		Base:         message.Base,
		Proposer:     message.Proposer,
		Table:        message.Table,
		Exclusive:    message.Exclusive,
		Withdraws:    message.Withdraws,
		Keys:         message.Keys,
		OmittedKeys:  int(message.OmittedKeys),
		Version:      message.Version,
		TargetStage:  Stage(message.TargetStage),
		Term:         message.Term,
		LeaseSeconds: message.LeaseSeconds,
	}
	return e, e.validate()
}

// Snapshot encodes the state in at most MaxSnapshotBytes.
func (s *State) Snapshot() []byte {
	message := &pb.State{
		View:                s.View().toProto(),
		LongestLeaseSeconds: s.longestLeaseSeconds,
	}
	for _, c := range s.history {
		message.History = append(message.History, c.toProto())
	}
	return marshal(message)
}

// Restore replaces the state by the one that a snapshot contains. Its error is a
// *CorruptMessageError, after which the state is unchanged.
func (s *State) Restore(raw []byte) error {
	var message pb.State
	if err := unmarshal(subjectSnapshot, raw, MaxSnapshotBytes, &message); err != nil {
		return err
	}
	restored, ok := stateFromProto(&message)
	if !ok {
		return &CorruptMessageError{Subject: subjectSnapshot, Reason: reasonInvalidField}
	}
	*s = restored
	return nil
}

func stateFromProto(message *pb.State) (State, bool) {
	view, ok := viewFromProto(message.View)
	if !ok {
		return State{}, false
	}
	longest := message.LongestLeaseSeconds
	if !isFinite(longest) || longest < 0 || longest > MaxLeaseSeconds*(1+MaxClockDrift) {
		return State{}, false
	}
	history, ok := historyFromProto(message.History, view.NewestNumber())
	if !ok {
		return State{}, false
	}
	return State{
		view:                view,
		digest:              view.Digest(),
		longestLeaseSeconds: longest,
		history:             history,
	}, true
}

// historyFromProto decodes a history. The versions have to ascend, and none may
// be greater than newest.
func historyFromProto(messages []*pb.Change, newest uint64) ([]Change, bool) {
	if len(messages) > MaxHistoryLength {
		return nil, false
	}
	var history []Change
	for i, message := range messages {
		c, ok := changeFromProto(message)
		if !ok || c.Version > newest || i > 0 && c.Version <= history[i-1].Version {
			return nil, false
		}
		history = append(history, c)
	}
	return history, true
}

func (c Change) toProto() *pb.Change {
	return &pb.Change{
		Version:     c.Version,
		Base:        c.Base,
		Proposer:    c.Proposer,
		Keys:        c.Keys,
		OmittedKeys: uint32(c.OmittedKeys),
	}
}

func changeFromProto(message *pb.Change) (Change, bool) {
	if !validName(message.GetProposer()) || !validKeys(message.GetKeys()) {
		return Change{}, false
	}
	if message.GetOmittedKeys() > maxOmittedKeys || message.GetVersion() <= message.GetBase() {
		return Change{}, false
	}
	return Change{
		Version:     message.GetVersion(),
		Base:        message.GetBase(),
		Proposer:    message.GetProposer(),
		Keys:        message.GetKeys(),
		OmittedKeys: int(message.GetOmittedKeys()),
	}, true
}

func (r Revision) toProto() *pb.Revision {
	return &pb.Revision{Version: r.Version, Stage: uint32(r.Stage)}
}

func revisionFromProto(message *pb.Revision) (Revision, bool) {
	if message.GetStage() > uint32(StageInForce) {
		return Revision{}, false
	}
	r := Revision{Version: message.GetVersion(), Stage: Stage(message.GetStage())}
	return r, r.isValid()
}

// toProto returns nil for the zero version, so that the field is omitted from the encoding.
func (v Version) toProto() *pb.Version {
	if v.Number == 0 {
		return nil
	}
	return &pb.Version{Number: v.Number, Proposer: v.Proposer, Table: v.Table}
}

func versionFromProto(message *pb.Version) (Version, bool) {
	v := Version{
		Number:   message.GetNumber(),
		Proposer: message.GetProposer(),
		Table:    message.GetTable(),
	}
	if v.Number == 0 {
		return Version{}, v.Proposer == "" && len(v.Table) == 0
	}
	return v, validName(v.Proposer) && len(v.Table) > 0 && len(v.Table) <= MaxTableBytes
}

func (v *View) toProto() *pb.View {
	return &pb.View{
		Cluster:  v.Cluster,
		Revision: v.Revision.toProto(),
		InForce:  v.InForce.toProto(),
		Next:     v.Next.toProto(),
	}
}

// viewFromProto decodes a view. It rejects one whose revision contradicts its versions.
func viewFromProto(message *pb.View) (*View, bool) {
	revision, validRevision := revisionFromProto(message.GetRevision())
	inForce, validInForce := versionFromProto(message.GetInForce())
	next, validNext := versionFromProto(message.GetNext())
	v := &View{
		Cluster:  message.GetCluster(),
		Revision: revision,
		InForce:  inForce,
		Next:     next,
	}
	if !validRevision || !validInForce || !validNext || !validName(v.Cluster) {
		return nil, false
	}
	return v, v.isConsistent()
}

// isConsistent reports whether the view's revision is possible with its versions.
func (v *View) isConsistent() bool {
	if v.Next.Number != 0 {
		return v.Revision.Version == v.Next.Number && v.Revision.Stage < StageInForce &&
			v.InForce.Number != 0 && v.InForce.Number < v.Next.Number
	}
	return v.Revision.Version == v.InForce.Number && (v.Revision == Revision{} || v.Revision.Stage == StageInForce)
}
