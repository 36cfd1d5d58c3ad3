package endpointlists

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"
)

const (
	peerCount        = 4
	randomSteps      = 600
	epochChangeStep  = 300
	convergeRounds   = 40
	stepSeconds      = 0.1
	roundSeconds     = 5
	transferTimeoutS = 3
)

// discovery simulates a discovery service, whose versions ascend within an epoch.
// An entry's data begins with the epoch and version of its latest change, so that
// later data is greater.
type discovery struct {
	epoch    uint64
	seq      uint64
	versions []map[string]string // data by ID, indexed by the version in this epoch
	padding  string              // appended to each entry's data
}

func (d *discovery) current() map[string]string { return d.versions[d.seq] }

// start begins an epoch, with version 1 of all IDs.
func (d *discovery) start(epoch uint64, ids int) {
	*d = discovery{epoch: epoch, versions: []map[string]string{{}}, padding: d.padding}
	d.change(nil, ids)
}

// change creates the next version by random changes; it sets all IDs if r is nil.
func (d *discovery) change(r *rand.Rand, ids int) {
	next := maps.Clone(d.current())
	d.seq++
	for i := range ids {
		id := fmt.Sprintf("w%03d", i)
		switch {
		case r == nil || r.IntN(ids) == 0:
			next[id] = fmt.Sprintf("%d.%06d%s", d.epoch, d.seq, d.padding)
		case r.IntN(2*ids) == 0:
			delete(next, id)
		}
	}
	d.versions = append(d.versions, next)
}

// update returns the next event for a watch that has received version from, or a snapshot if from is 0.
func (d *discovery) update(from uint64) Update {
	u := Update{Seq: d.seq, Snapshot: from == 0}
	for id, data := range d.current() {
		if from == 0 || d.versions[from][id] != data {
			u.Entries = append(u.Entries, Entry{ID: id, Data: []byte(data)})
		}
	}
	if from == 0 {
		return u
	}
	for id := range d.versions[from] {
		if _, ok := d.current()[id]; !ok {
			u.Entries = append(u.Entries, Entry{ID: id, Deleted: true})
		}
	}
	return u
}

type peer struct {
	*List
	name         string
	watchVersion uint64 // version that the peer's own watch has received; 0 after it was reopened
	watchStalled bool   // the peer's own watch delivers nothing
	lastVersion  Version
	latest       map[string]string // the greatest data that the peer had of each ID
}

// message is a message between peers, given by index. Exactly one of version, request and chunk is set.
type message struct {
	from, to int
	version  *Version
	request  *ChunkRequest
	chunk    *Chunk
}

// simulation simulates peers that exchange the list of a discovery service, which
// changes the list and begins a second epoch. Most peers have a stalled watch. The
// links between peers lose, duplicate, delay and reorder messages.
type simulation struct {
	t         *testing.T
	seed      uint64
	random    *rand.Rand
	ids       int
	now       float64
	discovery discovery
	peers     []*peer
	messages  []message
}

// simulate runs a simulation of random events, then checks that the lists converge.
func simulate(t *testing.T, seed uint64, ids, paddingBytes int) {
	s := &simulation{
		t:         t,
		seed:      seed,
		random:    rand.New(rand.NewPCG(seed, 1)),
		ids:       ids,
		discovery: discovery{padding: strings.Repeat(".", paddingBytes)},
	}
	s.discovery.start(1, ids)
	for i := range peerCount {
		p := &peer{
			List:         New(transferTimeoutS),
			name:         fmt.Sprint("n", i),
			watchStalled: i > 0,
			latest:       map[string]string{},
		}
		p.SetEpoch(1)
		s.peers = append(s.peers, p)
	}
	for step := range randomSteps {
		s.now += stepSeconds
		s.randomEvent()
		if step == epochChangeStep {
			s.restartDiscovery()
		}
		if step > epochChangeStep && s.random.IntN(100) == 0 {
			s.setEpoch(s.randomPeer())
		}
	}
	s.converge()
}

func (s *simulation) randomPeer() *peer {
	return s.peers[s.random.IntN(len(s.peers))]
}

func (s *simulation) randomEvent() {
	switch x := s.random.IntN(20); {
	case x == 0:
		s.discovery.change(s.random, s.ids)
	case x < 4:
		s.runWatch(s.randomPeer())
	case x == 4:
		p := s.randomPeer()
		p.watchStalled = s.random.IntN(3) > 0
		if s.random.IntN(2) == 0 {
			p.watchVersion = 0
		}
	case x < 8:
		s.sendVersions()
	case x < 10 && len(s.messages) > 0:
		s.sendUnrequestedChunk()
	case len(s.messages) > 0:
		s.deliverAny()
	}
}

func (s *simulation) sendUnrequestedChunk() {
	i := s.random.IntN(len(s.peers))
	previous := Version{Epoch: s.discovery.epoch, Seq: s.discovery.seq - 1}
	chunk := s.peers[i].ChunkSince(ChunkRequest{Version: previous})
	s.messages = append(s.messages, message{from: i, to: (i + 1) % len(s.peers), chunk: &chunk})
}

// deliverAny picks a message, which is delivered or not, and removed or kept for another delivery.
func (s *simulation) deliverAny() {
	i := s.random.IntN(len(s.messages))
	m := s.messages[i]
	if s.random.IntN(4) > 0 {
		s.messages = append(s.messages[:i], s.messages[i+1:]...)
	}
	if s.random.IntN(4) > 0 {
		s.deliver(m)
	}
}

// restartDiscovery begins the second epoch, which resets all watches.
func (s *simulation) restartDiscovery() {
	s.discovery.start(2, s.ids)
	for _, p := range s.peers {
		p.watchVersion = 0
	}
}

// setEpoch has a peer apply the configuration of the second epoch.
func (s *simulation) setEpoch(p *peer) {
	if p.SetEpoch(2) {
		p.watchVersion = 0
	}
}

// runWatch delivers an event of a peer's own watch.
func (s *simulation) runWatch(p *peer) {
	// Until the configuration sets the new epoch, a peer recognizes a list of the new epoch only by its lower version.
	if p.watchStalled || p.epoch < s.discovery.epoch && s.discovery.seq >= p.version.Seq {
		return
	}
	_, err := p.ApplyUpdate(s.discovery.update(p.watchVersion))
	p.watchVersion = s.discovery.seq
	if _, invalid := errors.AsType[*InvalidUpdateError](err); invalid {
		p.watchVersion = 0
	}
	s.checkInvariants(p)
}

func (s *simulation) sendVersions() {
	for i, p := range s.peers {
		to := (i + 1 + s.random.IntN(len(s.peers)-1)) % len(s.peers)
		version := p.Version()
		s.messages = append(s.messages, message{from: i, to: to, version: &version})
	}
}

func (s *simulation) deliver(m message) {
	from := s.peers[m.from].name
	to := s.peers[m.to]
	switch {
	case m.version != nil:
		if request, ok := to.ReceiveVersion(s.now, from, *m.version); ok {
			s.messages = append(s.messages, message{from: m.to, to: m.from, request: &request})
		}
	case m.request != nil:
		chunk := to.ChunkSince(*m.request)
		s.messages = append(s.messages, message{from: m.to, to: m.from, chunk: &chunk})
	default:
		s.deliverChunk(m, from, to)
	}
}

func (s *simulation) deliverChunk(m message, from string, to *peer) {
	epoch := to.version.Epoch
	result, err := to.ApplyChunk(s.now, from, *m.chunk)
	if err != nil {
		s.t.Fatalf("seed %d: applying a chunk: %v", s.seed, err)
	}
	if result.Next != nil {
		s.messages = append(s.messages, message{from: m.to, to: m.from, request: result.Next})
	}
	if to.version.Epoch != epoch {
		to.watchVersion = 0
	}
	s.checkInvariants(to)
}

// converge checks that all lists become equal within convergeRounds once the links
// and the watch of one peer work again.
func (s *simulation) converge() {
	for i, p := range s.peers {
		p.SetEpoch(2)
		p.watchStalled = i > 0
	}
	s.peers[0].watchVersion = 0
	s.messages = nil
	for range convergeRounds {
		s.now += roundSeconds
		s.runWatch(s.peers[0])
		s.sendVersions()
		for len(s.messages) > 0 {
			m := s.messages[0]
			s.messages = s.messages[1:]
			s.deliver(m)
		}
	}
	for _, p := range s.peers {
		if p.version != (Version{Epoch: 2, Seq: s.discovery.seq}) {
			s.t.Fatalf("seed %d: a peer has version %v, discovery has %d", s.seed, p.version, s.discovery.seq)
		}
		s.expectMatchesDiscovery(p)
	}
}

// checkInvariants fails the test if the version or an entry of a peer's list is older than before, or if the list
// differs from the one that discovery had at that version.
func (s *simulation) checkInvariants(p *peer) {
	s.t.Helper()
	if p.version.Compare(p.lastVersion) < 0 {
		s.t.Fatalf("seed %d: the version went back from %v to %v", s.seed, p.lastVersion, p.version)
	}
	p.lastVersion = p.version
	for _, e := range p.Entries() {
		data := string(e.Data)
		if data < p.latest[e.ID] {
			s.t.Fatalf("seed %d: entry %s went back from %s to %s", s.seed, e.ID, p.latest[e.ID], data)
		}
		p.latest[e.ID] = data
	}
	if p.version.Epoch == s.discovery.epoch {
		s.expectMatchesDiscovery(p)
	}
}

func (s *simulation) expectMatchesDiscovery(p *peer) {
	s.t.Helper()
	want := s.discovery.versions[p.version.Seq]
	entries := p.Entries()
	for _, e := range entries {
		if want[e.ID] != string(e.Data) {
			s.t.Fatalf("seed %d: entry %s is %q, but %q in discovery at version %v", s.seed, e.ID, e.Data, want[e.ID], p.version)
		}
	}
	if len(entries) != len(want) || p.live != len(want) {
		s.t.Fatalf("seed %d: got %d entries, a count of %d; discovery had %d", s.seed, len(entries), p.live, len(want))
	}
}
