package agent

import "time"

// releaseState is the progress of releasing the lease.
type releaseState struct {
	requested bool
	sent      bool
	done      chan struct{}
}

// releaseRequest asks the agent's goroutine to release the lease. It closes done
// when the leader has been notified or can't be reached.
type releaseRequest struct {
	done chan struct{}
}

func (r releaseRequest) handle(a *Agent) {
	s := *a.effective.Load()
	s.expiresAt = a.startTime
	a.effective.Store(&s) // so that attempts still in flight use the fallback
	a.journal.recordApplied(a.Now(), &a.effective, s.fallbackTable)
	a.release = releaseState{requested: true, done: r.done}
}

// sendRelease notifies the leader that this instance no longer acts on any
// configuration. No lease request may be in flight: if the leader confirmed it
// after the release, the lease would be registered again.
func (a *Agent) sendRelease() {
	if a.release.sent {
		return
	}
	a.release.sent = true
	message := a.holder.Release()
	done := a.release.done
	a.goroutines.Go(func() {
		defer close(done)
		// If the release is lost, the others only have to wait until the lease expires.
		_, _ = a.callLeader(payloadLeaseRelease, message.Marshal(), a.releaseTimeoutSeconds())
	})
}

func (a *Agent) releaseTimeoutSeconds() float64 {
	return releaseTimeoutDelays * a.LeaseSettings.NetworkDelaySeconds
}

// Close releases the lease and stops the agent. The event loop must have stopped
// before, so that nothing acts on a configuration after the release.
func (a *Agent) Close() {
	a.closeOnce.Do(func() {
		a.requestRelease()
		a.cancel()
		// The node's callbacks start goroutines that Wait covers, so the node is closed first.
		if a.voter != nil {
			a.voter.close()
		}
		a.goroutines.Wait()
		a.client.Close()
		a.journal.close()
	})
}

// requestRelease releases the lease and waits for that, at most for the timeout of a release.
func (a *Agent) requestRelease() {
	done := make(chan struct{})
	timeout := time.After(secondsToDuration(a.releaseTimeoutSeconds()))
	select {
	case a.inbox <- releaseRequest{done: done}:
	case <-timeout:
		return
	}
	select {
	case <-done:
	case <-timeout:
	}
}
