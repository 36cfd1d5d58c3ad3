package consensus

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"example.org/bellstream/internal/cluster/consensus/wire"
)

// A snapshot beyond the limit is reported as an error in the status, and the voter
// still accepts proposals. Once the snapshot is small enough, it is written.
func TestSnapshotTooLarge(t *testing.T) {
	size := wire.MaxSnapshotBytes + 1
	withCluster(t, "a", func(o *Options) {
		o.SnapshotCount = 4
		o.Snapshot = func() []byte { return make([]byte, size) }
	}, func(c *testCluster) {
		node := c.waitForLeader("a")
		for range 8 {
			c.propose(node, "x")
		}
		synctest.Wait() // the status is published after the callbacks
		if s := node.Status(); s.Snapshots != 0 || !strings.Contains(s.SnapshotError, "no snapshot") {
			t.Errorf("with a snapshot beyond the limit: got status %+v", s)
		}
		node.runAndWait(func() { size = 1 })
		time.Sleep(2 * diskRetryTicks * tick)
		c.propose(node, "y")
		synctest.Wait()
		if s := node.Status(); s.Snapshots != 1 || s.SnapshotError != "" {
			t.Errorf("with a small snapshot: got status %+v", s)
		}
	})
}

func TestProposalAndQueueLimits(t *testing.T) {
	withCluster(t, "a", nil, func(c *testCluster) {
		node := c.waitForLeader("a")
		for _, size := range []int{0, MaxProposalBytes + 1} {
			if err := node.Propose(c.context(), make([]byte, size)); !errors.As(err, new(*TooLargeError)) {
				t.Errorf("proposal of %d bytes: got %v, want TooLargeError", size, err)
			}
		}
		c.propose(node, strings.Repeat("x", MaxProposalBytes))
		resume := make(chan struct{})
		node.calls <- func() { <-resume }
		for range maxQueuedCalls {
			node.ReadIndexAsync(func(uint64, uint64, error) {})
		}
		if err := node.ProposeAsync([]byte("x"), func(error) {}); !errors.As(err, new(*OverloadedError)) {
			t.Errorf("asynchronous proposal with a full queue: got %v, want OverloadedError", err)
		}
		ctx, cancel := context.WithTimeout(c.context(), time.Second)
		defer cancel()
		if err := node.Propose(ctx, []byte("x")); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("proposal with a full queue: got %v, want DeadlineExceeded", err)
		}
		close(resume)
		c.stop("a")
		if err := node.Propose(c.context(), []byte("x")); !errors.Is(err, ErrClosed) {
			t.Errorf("proposal after Close: got %v, want ErrClosed", err)
		}
	})
}

// Each error text tells the operator what to do. The pages and sections that it
// refers to exist.
func TestErrorsNameARemedy(t *testing.T) {
	root := filepath.Join("..", "..", "..")
	cause := syscall.ENOSPC
	remedy := regexp.MustCompile(`\b(start|mend|propose|make|ask|put|see|correct|docs/|can't handle the request: why)`)
	section := regexp.MustCompile(`(docs/[\w/.-]+\.md), (\w+)`)
	for _, err := range []error{
		&NoQuorumError{OutcomeUnknown: true, Err: cause},
		&NotLeaderError{"a", "a:1"},
		&TooLargeError{2, 1},
		&OverloadedError{"reads"},
		&DiskFullError{"/d", true},
		&CorruptFileError{"/d", "entry 1", cause},
		&DataLostError{"a", "/d"},
		&NotVoterError{"a", "why"},
		&ChangeRejectedError{"why"},
		&UnreachableError{"a:1", cause},
		&WrongClusterError{"a:1"},
		&UnavailableError{"a:1", "why"},
	} {
		text := err.Error()
		if !remedy.MatchString(text) {
			t.Errorf("%T: no remedy in %s", err, text)
		}
		for _, match := range section.FindAllStringSubmatch(text, -1) {
			page, err := os.ReadFile(filepath.Join(root, match[1]))
			if err != nil || !strings.Contains(string(page), "\n## "+match[2]) {
				t.Errorf("error text %s refers to section %s, which is not in %s: %v", text, match[2], match[1], err)
			}
		}
		if wrapper, wraps := err.(interface{ Unwrap() error }); wraps && !errors.Is(err, cause) {
			t.Errorf("%T does not wrap its cause: Unwrap returns %v", err, wrapper.Unwrap())
		}
	}
	if got := fmt.Sprint(withUnknownOutcome(&DiskFullError{Path: "/d"})); !strings.Contains(got, "may still") {
		t.Error(got)
	}
}
