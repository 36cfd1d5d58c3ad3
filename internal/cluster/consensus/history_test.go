package consensus

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// operation is a write of the replicated value, or a read.
type operation struct {
	value string // to set; empty for a read
}

var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		if v := in.(operation).value; v != "" {
			return true, v
		}
		return out == state, state
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%v -> %v", in, out) },
}

// Proposals and reads through any voter are linearizable under random partitions,
// pauses, restarts, full disks and delays.
func TestHistoriesAreLinearizable(t *testing.T) {
	done, unknown, seeds := 0, 0, uint64(4)
	if os.Getenv("BELLSTREAM_MODEL") == "full" {
		seeds = 200
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			names := []string{"a b c", "a b c d e"}[seed%2]
			withCluster(t, names, func(o *Options) { o.SnapshotCount = 20 }, func(c *testCluster) {
				ops, pending := runHistory(c, names, seed)
				if r, _ := porcupine.CheckOperationsVerbose(registerModel, ops, 0); r != porcupine.Ok {
					t.Errorf("seed %d: the history is not linearizable: %v", seed, ops)
				}
				done += len(ops)
				unknown += pending
			})
		})
	}
	t.Logf("%d operations, %d of them with unknown outcome", done, unknown)
	if done-unknown < 400 {
		t.Error("fewer than 400 operations succeeded")
	}
}

// unknownReturn is the return time of an operation whose outcome is unknown.
const unknownReturn = int64(1 << 62)

const historyCallers = 4

// history runs operations and faults on a cluster, and records the results that
// callers observed.
type history struct {
	cluster *testCluster
	names   string
	voters  []string // the names
	seed    uint64
	began   time.Time

	mu      sync.Mutex // guards the following fields, and the cluster's nodes
	ops     []porcupine.Operation
	pending int // proposals of unknown outcome
}

// runHistory runs operations under faults. It returns the operations with their
// results, and the number of proposals with unknown outcome.
func runHistory(c *testCluster, names string, seed uint64) (ops []porcupine.Operation, pending int) {
	h := &history{cluster: c, names: names, voters: strings.Fields(names), seed: seed, began: time.Now()}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for caller := range historyCallers {
		wg.Go(func() { h.runCaller(caller, stop) })
	}
	rng := rand.New(rand.NewPCG(seed, 99))
	for range 12 {
		h.injectFault(rng)
		time.Sleep(randomDuration(rng, 20*tick))
	}
	close(stop)
	wg.Wait()
	c.propose(c.waitForLeader(names), "end")
	c.waitForValue(names, "end")
	return h.ops, h.pending
}

// runCaller runs the operations of one caller, one at a time.
func (h *history) runCaller(caller int, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(h.seed, uint64(caller)))
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(randomDuration(rng, 3*tick)):
		}
		name := h.voters[rng.IntN(len(h.voters))]
		h.mu.Lock()
		node := h.cluster.nodes[name]
		register := h.cluster.registers[name]
		h.mu.Unlock()
		if node == nil {
			continue
		}
		var proposal operation
		if rng.IntN(2) == 0 {
			proposal.value = fmt.Sprint(caller, ".", i)
		}
		h.runOperation(caller, node, register, proposal)
	}
}

// runOperation runs and records one operation.
func (h *history) runOperation(caller int, node *Node, register *register, input operation) {
	op := porcupine.Operation{ClientId: caller, Input: input, Call: int64(time.Since(h.began))}
	ctx, cancel := context.WithTimeout(h.cluster.t.Context(), 3*time.Second)
	var err error
	if input.value != "" {
		err = node.Propose(ctx, []byte(input.value))
	} else if _, _, err = node.ReadIndex(ctx); err == nil {
		op.Output = register.get()
	}
	cancel()
	op.Return = int64(time.Since(h.began))
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err == nil:
		h.ops = append(h.ops, op)
	case input.value != "" && mayBeCommitted(err):
		// A client has one operation at a time, so a pending one is recorded as that of
		// a client of its own.
		op.ClientId = historyCallers + h.pending
		op.Return = unknownReturn
		h.ops = append(h.ops, op)
		h.pending++
	}
}

// injectFault impairs a voter for a random time, the leader more often than the
// other voters.
func (h *history) injectFault(rng *rand.Rand) {
	c := h.cluster
	name := h.voters[rng.IntN(len(h.voters))]
	c.mu.Lock()
	leader, _, _ := c.nodes[name].Leader()
	c.mu.Unlock()
	if c.nodes[leader] != nil && rng.IntN(2) == 0 {
		name = leader
	}
	node := c.nodes[name]
	others := strings.Fields(without(h.names, name))
	duration := randomDuration(rng, 40*tick)
	switch rng.IntN(6) {
	case 0:
		c.network.partition(true, []string{name}, others)
		time.Sleep(duration)
		c.network.partition(false, []string{name}, others)
	case 1:
		c.network.partitionOneWay(true, name, others[0])
		time.Sleep(duration)
		c.network.partitionOneWay(false, name, others[0])
	case 2:
		resume := make(chan struct{})
		node.calls <- func() { <-resume }
		time.Sleep(duration)
		close(resume)
	case 3:
		h.restart(name, duration)
	case 4:
		restore := node.failCommits(syscall.ENOSPC)
		time.Sleep(duration)
		restore()
	case 5:
		c.network.setDelay(randomDuration(rng, 3*tick))
		c.network.disconnect(name, others[0])
		time.Sleep(duration)
		c.network.setDelay(0)
	}
}

// restart stops a voter, and starts it again after duration.
func (h *history) restart(name string, duration time.Duration) {
	h.mu.Lock()
	node := h.cluster.nodes[name]
	delete(h.cluster.nodes, name)
	h.mu.Unlock()
	node.Close()
	time.Sleep(duration)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cluster.start(name, h.names)
}

// mayBeCommitted reports whether a failed proposal may still be committed.
func mayBeCommitted(err error) bool {
	if noQuorum, ok := errors.AsType[*NoQuorumError](err); ok {
		return noQuorum.OutcomeUnknown
	}
	if diskFull, ok := errors.AsType[*DiskFullError](err); ok {
		return diskFull.OutcomeUnknown
	}
	return errors.Is(err, ErrClosed) // raft may have accepted the proposal before Close
}

func randomDuration(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(d)))
}
