package consensus

import (
	"bytes"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"example.org/bellstream/internal/cluster/consensus/wire"
	"example.org/bellstream/internal/cluster/mesh/peerconn"
)

const rawPeerName = "x"

// rawPeer sends arbitrary frames to a voter, including invalid ones.
type rawPeer struct {
	cluster  *testCluster
	target   *Node
	identity wire.Identity
}

// send opens a connection and writes frames to it. It discards the received data.
func (p *rawPeer) send(frames ...[]byte) net.Conn {
	p.cluster.t.Helper()
	conn, err := p.cluster.network.dial(rawPeerName)(p.cluster.context(), p.target.options.Listen)
	if err != nil {
		p.cluster.t.Fatal(err)
	}
	go func() {
		buffer := make([]byte, 1024)
		for {
			if _, err := conn.Read(buffer); err != nil {
				return
			}
		}
	}()
	for _, frame := range frames {
		conn.Write(frame)
	}
	return conn
}

func (p *rawPeer) encode(f wire.Frame) []byte { return wire.Encode(wire.ClusterDigest("test"), f) }

func (p *rawPeer) handshake(voter bool) []byte {
	handshake := &wire.Handshake{Name: rawPeerName, Voter: voter, Seed: make([]byte, wire.SeedLen)}
	return p.encode(wire.Frame{Identity: p.identity, Handshake: handshake})
}

func (p *rawPeer) raft(message *raftpb.Message) []byte {
	return p.encode(wire.Frame{Identity: p.identity, Raft: message})
}

func (p *rawPeer) vote(from string) []byte {
	return p.raft(&raftpb.Message{
		Type:    raftpb.MsgVote.Enum(),
		From:    new(wire.NodeID(from)),
		To:      new(wire.NodeID(p.target.options.Name)),
		Term:    new(uint64(99)),
		Index:   new(uint64(99)),
		LogTerm: new(uint64(98)),
	})
}

// Invalid frames are dropped and counted, and have no other effect.
func TestInvalidFramesAreDropped(t *testing.T) {
	names := "a b c"
	withCluster(t, names, nil, func(c *testCluster) {
		leader := c.waitForLeader(names)
		c.propose(leader, "one")
		peer := &rawPeer{cluster: c, target: leader, identity: leader.advertised.Load().identity}
		otherIdentity := wire.Frame{Identity: wire.Identity{1}, Handshake: &wire.Handshake{Name: "x"}}
		otherRecipient := wire.Frame{Handshake: &wire.Handshake{Name: "x", Recipient: "y"}}
		localMessage := &raftpb.Message{Type: raftpb.MsgHup.Enum(), Term: new(uint64(1))}
		flipped := peer.handshake(true)
		flipped[20] ^= 1
		for _, test := range []struct {
			reason string
			frames [][]byte
		}{
			{dropUnknownSender, [][]byte{peer.handshake(true), peer.vote("y")}},
			{dropUnknownSender, [][]byte{peer.handshake(false), peer.vote("x")}},
			{dropUnknownSender, [][]byte{peer.vote("x")}},
			{dropWrongIdentity, [][]byte{peer.encode(otherIdentity)}},
			{dropWrongRecipient, [][]byte{peer.encode(otherRecipient)}},
			{wire.ErrChecksum.Error(), [][]byte{flipped}},
			{wire.ErrWrongCluster.Error(), [][]byte{wire.Encode(1, wire.Frame{Handshake: &wire.Handshake{Name: "x"}})}},
			{wire.ErrTooLarge.Error(), [][]byte{bytes.Repeat([]byte{0xff}, peerconn.HeaderLen)}},
			{wire.ErrMalformed.Error(), [][]byte{peer.encode(wire.Frame{Handshake: &wire.Handshake{}})}},
			{wire.ErrMalformed.Error(), [][]byte{peer.handshake(true), peer.raft(localMessage)}},
		} {
			before := leader.Status().Drops[test.reason]
			conn := peer.send(test.frames...)
			c.waitFor("a frame drop: "+test.reason, func() bool { return leader.Status().Drops[test.reason] > before })
			conn.Close()
		}
		checkIdleConnectionIsClosed(t, leader, peer)
		c.propose(c.waitForLeader(names), "two")
		c.waitForValue(names, "two")
	})
}

func checkIdleConnectionIsClosed(t *testing.T, leader *Node, peer *rawPeer) {
	t.Helper()
	idle := peer.send(peer.handshake(false))
	defer idle.Close()
	openConnections := func() int {
		leader.transport.mu.Lock()
		defer leader.transport.mu.Unlock()
		return len(leader.transport.openConnections)
	}
	synctest.Wait()
	before := openConnections()
	time.Sleep(idleTimeoutTicks*tick + tick)
	if n := openConnections(); n != before-1 {
		t.Errorf("after the idle timeout: got %d connections, %d before it, want one less", n, before)
	}
}

// Frames beyond the limits of a connection's send queue are dropped and counted.
func TestOutboxIsBounded(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	var drops peerconn.DropCounters
	var sentBytes atomic.Uint64
	options := connectionOptions{clusterDigest: 1, idleTimeout: time.Second, drops: &drops, sentBytes: &sentBytes}
	conn := newConnection(near, options, true)
	defer conn.close()
	for range outboxFrames + 10 {
		conn.send(wire.Frame{Ping: &wire.Ping{}})
	}
	if got := drops.Snapshot()[dropOutboxFull]; got != 10 {
		t.Errorf("got %d frames dropped of %d, want all but %d", got, outboxFrames+10, outboxFrames)
	}
	const requests = 10
	large := wire.Frame{Request: &wire.Request{Payload: make([]byte, MaxPayloadBytes)}}
	drops = peerconn.DropCounters{}
	conn = newConnection(near, options, true)
	for range requests {
		conn.send(large)
	}
	queued := requests - int(drops.Snapshot()[dropOutboxFull])
	got := queued * len(wire.Encode(options.clusterDigest, large))
	if got > outboxBytes || got < outboxBytes-MaxPayloadBytes-peerconn.HeaderLen-64 {
		t.Errorf("got %d bytes queued, want at most %d and at most one frame less", got, outboxBytes)
	}
}

// While the loop is blocked, its inbox holds no more than its limit in bytes.
func TestInboxIsBounded(t *testing.T) {
	withCluster(t, "a", nil, func(c *testCluster) {
		node := c.waitForLeader("a")
		client := NewClient(ClientOptions{Name: "i", Cluster: "test", Tick: tick, Dial: c.network.dial("i")})
		defer client.Close()
		if _, err := client.Request(c.context(), "a:1", []byte("q")); err != nil {
			t.Fatal(err)
		}
		resume := make(chan struct{})
		results := make(chan error)
		node.calls <- func() { <-resume }
		const requests = inboxBytes/MaxPayloadBytes + 1
		for range requests {
			go func() {
				_, err := client.Request(c.context(), "a:1", make([]byte, MaxPayloadBytes))
				results <- err
			}()
			time.Sleep(tick / 10)
		}
		err := <-results
		queued := node.transport.queuedBytes.Load()
		drops := node.Status().Drops
		if !errors.As(err, new(*OverloadedError)) || queued > inboxBytes || drops[dropInboxFull] != 1 {
			t.Errorf("got error %v, want OverloadedError; got %d bytes queued, want at most %d; got drops %v, want one",
				err, queued, inboxBytes, drops)
		}
		close(resume)
		for range requests - 1 {
			<-results
		}
		if left := node.transport.queuedBytes.Load(); left != 0 {
			t.Errorf("got %d bytes queued after all requests were handled, want 0", left)
		}
	})
}
