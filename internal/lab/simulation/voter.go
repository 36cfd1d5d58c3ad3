package simulation

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"example.org/bellstream/internal/cluster/consensus"
	"example.org/bellstream/internal/cluster/consensus/wire"
	"example.org/bellstream/internal/cluster/lease"
	"example.org/bellstream/internal/cluster/lease/agent"
)

// voter is the consensus node of a voting instance, run step by step in virtual time.
type voter struct {
	agreement *Agreement
	instance  *AgreementInstance
	state     *lease.State
	grantor   *lease.Grantor

	node       *raft.RawNode
	storage    *raft.MemoryStorage
	hardState  *raftpb.HardState
	applied    uint64
	leaderTerm uint64 // 0 if it does not lead

	lastNumber       uint64
	pendingProposals map[uint64]func(error)
	outcomes         map[uint64]*entryOutcome // by the entry's hash
	pendingReads     []readCallback
	batch            *readBatch

	identifyCheckedAt float64
	busy              bool // runs tasks, or writes to disk
	tasks             []func()
}

type readCallback func(term uint64, err error)

// readBatch holds the reads that one read index confirms.
type readBatch struct {
	key       []byte
	index     uint64
	confirmed bool
	callbacks []readCallback
}

// entryOutcome is the result of applying an entry, kept until all its submitters have received it.
type entryOutcome struct {
	waiters int
	err     error
}

func newVoter(in *AgreementInstance, ids []uint64) *voter {
	v := &voter{
		agreement:        in.agreement,
		instance:         in,
		storage:          raft.NewMemoryStorage(),
		state:            &lease.State{},
		applied:          1,
		pendingProposals: map[uint64]func(error){},
		outcomes:         map[uint64]*entryOutcome{},
	}
	v.grantor = lease.NewGrantor(in.agreement.Leases, v.state)
	membership := raftpb.EnsureConfState(nil)
	membership.Voters = append(membership.Voters, ids...)
	first := &raftpb.Snapshot{Metadata: &raftpb.SnapshotMetadata{
		ConfState: membership,
		Index:     new(uint64(1)),
		Term:      new(uint64(1)),
	}}
	v.hardState = &raftpb.HardState{Term: new(uint64(1)), Vote: new(uint64), Commit: new(uint64(1))}
	v.mustSucceed(v.storage.ApplySnapshot(first))
	v.mustSucceed(v.storage.SetHardState(v.hardState))
	var err error
	v.node, err = raft.NewRawNode(consensus.RaftConfig(wire.NodeID(in.Name), v.storage, v.applied, silentLogger{}))
	v.mustSucceed(err)
	return v
}

// silentLogger drops raft's log lines. It panics on Fatal and Panic.
type silentLogger struct{}

func (silentLogger) Debug(...any)              {}
func (silentLogger) Debugf(string, ...any)     {}
func (silentLogger) Info(...any)               {}
func (silentLogger) Infof(string, ...any)      {}
func (silentLogger) Warning(...any)            {}
func (silentLogger) Warningf(string, ...any)   {}
func (silentLogger) Error(...any)              {}
func (silentLogger) Errorf(string, ...any)     {}
func (silentLogger) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (silentLogger) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (silentLogger) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (silentLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

// mustSucceed panics on an error, which would be a fault of the simulation.
func (v *voter) mustSucceed(err error) {
	if err != nil {
		panic(err)
	}
}

// enqueue adds a task to the node's loop.
func (v *voter) enqueue(task func()) {
	v.tasks = append(v.tasks, task)
	if len(v.tasks) == 1 && !v.busy {
		v.agreement.after(0, v.instance, v.run)
	}
}

func (v *voter) run() {
	for !v.busy && v.instance.Up && len(v.tasks) > 0 {
		tasks := v.tasks
		v.tasks = nil
		v.busy = true // tasks that these enqueue run in the next pass
		for _, task := range tasks {
			task()
		}
		v.busy = false
		v.processReady()
	}
}

func (v *voter) tick() {
	if !v.instance.Up {
		return
	}
	v.enqueue(func() {
		v.node.Tick()
		v.updateLeadership()
		v.advance()
	})
	v.agreement.after(agent.TickInterval.Seconds(), v.instance, v.tick)
}

// processReady carries out raft's Ready batches. A batch that must be synced to disk is applied after the sync, and
// later batches wait for it.
func (v *voter) processReady() {
	for {
		v.updateLeadership()
		v.startReadBatch()
		if !v.node.HasReady() {
			return
		}
		ready := v.node.Ready()
		if v.store(ready) && v.agreement.DiskSyncSeconds > 0 {
			v.busy = true
			v.agreement.after(v.agreement.DiskSyncSeconds, v.instance, func() { v.finishSync(ready) })
			return
		}
		v.applyReady(ready)
	}
}

// startReadBatch requests a read index for the pending reads, one batch at a time.
func (v *voter) startReadBatch() {
	if v.batch != nil || len(v.pendingReads) == 0 || v.leaderTerm == 0 {
		return
	}
	v.lastNumber++
	key := binary.BigEndian.AppendUint64(nil, uint64(v.instance.index))
	key = binary.BigEndian.AppendUint64(key, v.lastNumber)
	v.batch = &readBatch{key: key, callbacks: v.pendingReads}
	v.pendingReads = nil
	v.node.ReadIndex(key)
}

// store stores raft's entries and hard state, and returns whether they must be synced to disk.
func (v *voter) store(ready raft.Ready) (sync bool) {
	hardState := v.hardState
	if !raft.IsEmptyHardState(ready.HardState) {
		hardState = ready.HardState
	}
	sync = len(ready.Entries) > 0 || raft.MustSync(hardState, v.hardState, 0)
	v.hardState = hardState
	v.mustSucceed(v.storage.SetHardState(hardState))
	v.mustSucceed(v.storage.Append(ready.Entries))
	return sync
}

func (v *voter) finishSync(ready raft.Ready) {
	if !v.instance.Up {
		return
	}
	v.applyReady(ready)
	v.busy = false
	v.processReady()
	v.run()
}

func (v *voter) applyReady(ready raft.Ready) {
	for _, message := range ready.Messages {
		v.sendRaft(message)
	}
	for _, entry := range ready.CommittedEntries {
		v.apply(entry)
	}
	for _, read := range ready.ReadStates {
		if v.batch != nil && bytes.Equal(read.RequestCtx, v.batch.key) {
			v.batch.index = read.Index
			v.batch.confirmed = true
		}
	}
	v.node.Advance(ready)
	batch := v.batch
	if batch == nil || !batch.confirmed || batch.index > v.applied || v.leaderTerm == 0 {
		return
	}
	v.batch = nil
	for _, callback := range batch.callbacks {
		callback(v.leaderTerm, nil)
	}
}

func (v *voter) sendRaft(message *raftpb.Message) {
	to := v.agreement.voterByID(message.GetTo())
	if to == nil {
		return
	}
	kind := raftFlow(message)
	if !to.Up || v.agreement.Partitioned(v.instance.index, to.index) {
		frame := wire.Frame{Identity: agreementIdentity, Raft: message}
		countFrame(v.instance.Sent, kind, len(wire.Encode(agreementClusterDigest, frame)))
		v.node.ReportUnreachable(message.GetTo())
		return
	}
	v.instance.send(to, kind, wire.Frame{Raft: message}, func(f wire.Frame) {
		to.voter.enqueue(func() {
			_ = to.voter.node.Step(f.Raft) // fails only on a message from a node that does not vote; there is none
			to.voter.updateLeadership()
		})
	})
}

func raftFlow(message *raftpb.Message) string {
	switch message.GetType() {
	case raftpb.MsgHeartbeat, raftpb.MsgHeartbeatResp:
		return FlowHeartbeat
	case raftpb.MsgApp, raftpb.MsgAppResp:
		return FlowEntries
	}
	return FlowElection
}

// voterByID returns the voter with a raft ID, or nil if there is none.
func (a *Agreement) voterByID(id uint64) *AgreementInstance {
	for _, in := range a.Members[:a.Voters] {
		if wire.NodeID(in.Name) == id {
			return in
		}
	}
	return nil
}

func (v *voter) updateLeadership() {
	status := v.node.BasicStatus()
	leads := status.RaftState == raft.StateLeader
	if v.leaderTerm != 0 && (!leads || status.GetTerm() != v.leaderTerm) {
		v.loseLeadership()
	}
	if leads && v.leaderTerm == 0 {
		v.leaderTerm = status.GetTerm()
		v.grantor.SetTerm(v.agreement.Now, v.leaderTerm)
	}
}

// loseLeadership fails all pending proposals and reads.
func (v *voter) loseLeadership() {
	v.leaderTerm = 0
	v.grantor.SetTerm(v.agreement.Now, 0)
	for _, number := range slices.Sorted(maps.Keys(v.pendingProposals)) {
		done := v.pendingProposals[number]
		delete(v.pendingProposals, number)
		done(&consensus.NoQuorumError{OutcomeUnknown: true})
	}
	callbacks := v.pendingReads
	if v.batch != nil {
		callbacks = append(v.batch.callbacks, callbacks...)
	}
	v.batch = nil
	v.pendingReads = nil
	for _, callback := range callbacks {
		callback(0, &consensus.NoQuorumError{})
	}
}

func (v *voter) apply(committed *raftpb.Entry) {
	v.applied = committed.GetIndex()
	incarnation, number, data, ok := wire.DecodeProposal(committed.GetData())
	if !ok {
		return
	}
	entry, err := lease.UnmarshalEntry(data)
	if err == nil {
		_, err = v.state.Apply(committed.GetTerm(), entry)
	}
	if outcome := v.outcomes[xxhash.Sum64(data)]; outcome != nil {
		outcome.err = err
	}
	if done := v.pendingProposals[number]; done != nil && incarnation == v.incarnation() {
		delete(v.pendingProposals, number)
		done(nil)
	}
}

// incarnation distinguishes the proposals of different voters.
func (v *voter) incarnation() uint64 { return uint64(v.instance.index) + 1 }

// submit proposes an entry and passes the result of applying it to done.
func (v *voter) submit(entry lease.Entry, done func(error)) {
	raw, err := entry.Marshal()
	v.mustSucceed(err)
	hash := xxhash.Sum64(raw)
	outcome := v.outcomes[hash]
	if outcome == nil {
		outcome = &entryOutcome{}
		v.outcomes[hash] = outcome
	}
	outcome.waiters++
	v.lastNumber++
	number := v.lastNumber
	finish := func(err error) {
		if err == nil {
			err = outcome.err
		}
		outcome.waiters--
		if outcome.waiters == 0 {
			delete(v.outcomes, hash)
		}
		done(err)
	}
	if v.leaderTerm == 0 {
		finish(&consensus.NoQuorumError{})
		return
	}
	if err := v.node.Propose(wire.EncodeProposal(v.incarnation(), number, raw)); err != nil {
		finish(&consensus.OverloadedError{})
		return
	}
	v.pendingProposals[number] = finish
}

// advance submits the next entry that is due by the grantor, and the cluster's identity until it is committed.
func (v *voter) advance() {
	if v.leaderTerm == 0 {
		return
	}
	if entry, ok := v.grantor.NextEntry(v.agreement.Now); ok {
		v.submit(entry, func(error) {})
	}
	if v.agreement.Now < v.identifyCheckedAt+identifyIntervalSeconds {
		return
	}
	v.identifyCheckedAt = v.agreement.Now
	if v.state.View().Cluster == "" {
		identify := lease.Entry{Kind: lease.EntryIdentify, Cluster: agreementIdentity.String()}
		v.submit(identify, func(error) {})
	}
}
