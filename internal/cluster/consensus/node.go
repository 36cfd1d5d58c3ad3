package consensus

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"

	"example.org/bellstream/internal/cluster/consensus/wire"
	"example.org/bellstream/internal/cluster/mesh/peerconn"
)

// Node is a present, future or former voter. Its methods are safe for concurrent
// use.
type Node struct {
	options    Options
	transport  *transport
	calls      chan func()
	stopping   chan struct{}
	stopped    chan struct{}
	closeOnce  sync.Once
	advertised atomic.Pointer[advertisement]
	status     atomic.Pointer[Status]
	drops      peerconn.DropCounters
	loop       *loop
}

// New opens the voter's file, listens and starts the node's goroutines. It does
// not wait for the other voters.
func New(o Options) (*Node, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	o.setDefaults()
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	s, err := openStorage(o.Dir, o.Name, o.Cluster)
	if err != nil {
		return nil, err
	}
	if o.Listener == nil {
		if o.Listener, err = net.Listen("tcp", o.Listen); err != nil {
			s.close()
			return nil, fmt.Errorf("consensus: %w", err)
		}
	}
	n := &Node{
		options:  o,
		calls:    make(chan func(), maxQueuedCalls),
		stopping: make(chan struct{}),
		stopped:  make(chan struct{}),
	}
	n.transport = &transport{
		name:          o.Name,
		clusterDigest: wire.ClusterDigest(o.Cluster),
		tick:          o.Tick,
		dial:          o.Dial,
		listener:      o.Listener,
		advertised:    &n.advertised,
		inbox:         make(chan receivedFrame, maxInboxFrames),
		drops:         &n.drops,
	}
	n.loop = newLoop(n, s)
	n.loop.publishStatus()
	n.transport.start()
	go func() {
		defer close(n.stopped)
		n.loop.run()
	}()
	return n, nil
}

// randomID returns a random number that identifies this process.
func randomID() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}

// Close stops the node and its goroutines. Pending calls return ErrClosed.
func (n *Node) Close() error {
	var err error
	n.closeOnce.Do(func() {
		close(n.stopping)
		<-n.stopped
		n.transport.close()
		err = n.loop.storage.close()
	})
	return err
}

// runOnLoop queues f for the loop's goroutine. It waits while the queue is full,
// and fails with ErrClosed, or with NoQuorumError if ctx ends first.
func (n *Node) runOnLoop(ctx context.Context, f func()) error {
	select {
	case <-n.stopping:
		return ErrClosed
	default:
	}
	select {
	case n.calls <- f:
		return nil
	case <-n.stopping:
		return ErrClosed
	case <-ctx.Done():
		return &NoQuorumError{Err: ctx.Err()}
	}
}

// TryRun queues f for the loop's goroutine, which f must not block. It does not
// wait, and fails with OverloadedError if the queue is full.
func (n *Node) TryRun(f func()) error {
	select {
	case n.calls <- f:
		return nil
	default:
		return &OverloadedError{"calls"}
	}
}

// await waits for the result of a call that was queued for the loop. outcomeUnknown
// states whether the call may still take effect after ctx has ended.
func await[T any](ctx context.Context, n *Node, result chan T, outcomeUnknown bool) (value T, err error) {
	select {
	case value = <-result:
		return value, nil
	case <-ctx.Done():
		return value, &NoQuorumError{OutcomeUnknown: outcomeUnknown, Err: ctx.Err()}
	case <-n.stopped:
	}
	select {
	case value = <-result: // sent just before the loop ended
		return value, nil
	default:
		return value, ErrClosed
	}
}

// awaitError runs a call on the loop and waits for the error that it passes to
// done.
func (n *Node) awaitError(ctx context.Context, call func(done func(error))) error {
	result := make(chan error, 1)
	done := func(err error) { result <- err }
	if err := n.runOnLoop(ctx, func() { call(done) }); err != nil {
		return err
	}
	outcome, err := await(ctx, n, result, true)
	if err != nil {
		return err
	}
	return outcome
}

// Propose returns nil once the entry is committed and applied on this node. Only
// the leader accepts proposals. Errors are NotLeaderError, TooLargeError,
// OverloadedError, DiskFullError, NotVoterError, DataLostError,
// CorruptFileError, ErrClosed and NoQuorumError: a leader that reaches no
// majority fails within 2 x 10 ticks. If the error has OutcomeUnknown set, or is
// ErrClosed, the entry may still be committed.
func (n *Node) Propose(ctx context.Context, data []byte) error {
	return n.awaitError(ctx, func(done func(error)) { n.loop.propose(data, done) })
}

// ProposeAsync is the non-blocking form of Propose: it passes the result to done,
// which runs on the loop's goroutine, but not after Close. If the queue is full,
// ProposeAsync returns OverloadedError and never calls done.
func (n *Node) ProposeAsync(data []byte, done func(error)) error {
	return n.TryRun(func() { n.loop.propose(data, done) })
}

// ReadIndex returns once a majority has confirmed, after the call began, that this
// node is the leader, and all entries committed by then are applied on this node.
// index is that of the last applied entry, and term the leader's term. Errors are
// those of Propose; a failed call has no lasting effect.
func (n *Node) ReadIndex(ctx context.Context) (index, term uint64, err error) {
	type readResult struct {
		index, term uint64
		err         error
	}
	result := make(chan readResult, 1)
	done := func(index, term uint64, err error) { result <- readResult{index, term, err} }
	if err := n.runOnLoop(ctx, func() { n.loop.readIndex(done) }); err != nil {
		return 0, 0, err
	}
	read, err := await(ctx, n, result, false)
	if err != nil {
		return 0, 0, err
	}
	return read.index, read.term, read.err
}

// ReadIndexAsync is the non-blocking form of ReadIndex. The rules of ProposeAsync
// apply to done.
func (n *Node) ReadIndexAsync(done func(index, term uint64, err error)) error {
	return n.TryRun(func() { n.loop.readIndex(done) })
}

// ChangeVoters sets the voting members to voters, a map of names to addresses. One
// call may add one voter, remove one, or change the address of one. Only the
// leader accepts changes. Errors are those of Propose, ChangeRejectedError, and
// UnreachableError for a new voter that does not respond. The name of a former
// voter is rejected.
func (n *Node) ChangeVoters(ctx context.Context, voters map[string]string) error {
	return n.awaitError(ctx, func(done func(error)) { n.loop.changeVoters(voters, done) })
}

// Request sends a request of this instance to the leader and returns the response.
// If this node is the leader, its own HandleRequest is called. Errors are NotLeaderError, NoQuorumError,
// UnavailableError, OverloadedError, TooLargeError and ErrClosed.
func (n *Node) Request(ctx context.Context, payload []byte) ([]byte, error) {
	if len(payload) > MaxPayloadBytes {
		return nil, &TooLargeError{len(payload), MaxPayloadBytes}
	}
	request := &wire.Request{From: n.options.Name, Payload: payload}
	result := make(chan *wire.Response, 1)
	respond := func(response *wire.Response) {
		select {
		case result <- response:
		default: // only the first response counts
		}
	}
	if err := n.runOnLoop(ctx, func() { n.loop.handleRequest(request, respond) }); err != nil {
		return nil, err
	}
	response, err := await(ctx, n, result, false)
	if err != nil {
		return nil, err
	}
	return responseResult(n.options.Listen, response)
}
