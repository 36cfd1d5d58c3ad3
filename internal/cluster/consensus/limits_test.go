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

// A snapshot beyond the limit is an error in the status, and the log grows on.
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
			t.Errorf("got %+v", s)
		}
		node.runAndWait(func() { size = 1 })
		time.Sleep(2 * diskRetryTicks * tick)
		c.propose(node, "y")
		synctest.Wait()
		if s := node.Status(); s.Snapshots != 1 || s.SnapshotError != "" {
			t.Errorf("got %+v", s)
		}
	})
}

func TestProposalAndQueueLimits(t *testing.T) {
	withCluster(t, "a", nil, func(c *testCluster) {
		node := c.waitForLeader("a")
		for _, size := range []int{0, MaxProposalBytes + 1} {
			if err := node.Propose(c.context(), make([]byte, size)); !errors.As(err, new(*TooLargeError)) {
				t.Errorf("%d bytes: %v", size, err)
			}
		}
		c.propose(node, strings.Repeat("x", MaxProposalBytes))
		resume := make(chan struct{})
		node.calls <- func() { <-resume }
		for range maxQueuedCalls {
			node.ReadIndexAsync(func(uint64, uint64, error) {})
		}
		if err := node.ProposeAsync([]byte("x"), func(error) {}); !errors.As(err, new(*OverloadedError)) {
			t.Errorf("got %v", err)
		}
		ctx, cancel := context.WithTimeout(c.context(), time.Second)
		defer cancel()
		if err := node.Propose(ctx, []byte("x")); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v", err)
		}
		close(resume)
		c.stop("a")
		if err := node.Propose(c.context(), []byte("x")); !errors.Is(err, ErrClosed) {
			t.Errorf("after Close: %v", err)
		}
	})
}

// Each error names what an operator can do, by a page or a section that exists.
func TestErrorsNameARemedy(t *testing.T) {
	root := filepath.Join("..", "..", "..")
	cause := syscall.ENOSPC
	remedy := regexp.MustCompile(`\b(start|mend|propose|make|ask|put|see|correct|docs/|can't answer: why)`)
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
			t.Errorf("%T names no remedy: %s", err, text)
		}
		for _, match := range section.FindAllStringSubmatch(text, -1) {
			page, err := os.ReadFile(filepath.Join(root, match[1]))
			if err != nil || !strings.Contains(string(page), "\n## "+match[2]) {
				t.Errorf("%s: no section %s in %s: %v", text, match[2], match[1], err)
			}
		}
		if wrapper, wraps := err.(interface{ Unwrap() error }); wraps && !errors.Is(err, cause) {
			t.Errorf("%T hides %v", err, wrapper.Unwrap())
		}
	}
	if got := fmt.Sprint(withUnknownOutcome(&DiskFullError{Path: "/d"})); !strings.Contains(got, "may still") {
		t.Error(got)
	}
}
