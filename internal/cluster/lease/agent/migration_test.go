package agent

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"example.org/bellstream/internal/cluster/migration"
)

// A service migrates by half, the migration is reversed and ends where it began, and the service migrates again.
// Meanwhile the links are cut at steps of the migration for longer than all leases, all instances of each cluster
// restart, and old messages are replayed. Both clusters together never use more than the reservation.
func TestServiceChangesClusters(t *testing.T) {
	defer goleak.VerifyNone(t)
	const seed = 20
	t.Logf("seed %d", seed)
	p := newPair(t, seed)
	for _, c := range clusterNames {
		p.start(c)
		defer p.stop(c)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer func() {
		cancel()
		wg.Wait()
		for _, r := range p.relays {
			r.listener.Close()
			r.setCut(true)
			r.wg.Wait()
		}
	}()
	wg.Go(func() { p.checkUsage(ctx) })
	wg.Go(func() { p.replayMessages(ctx, seed) })
	const total = 32 * migration.SlotStart
	p.place("east")
	p.waitFor("the reservation is usable in the east", func(e, w *migration.State) bool { return e.Usable("a") == total })
	wg.Go(func() { p.cutLinks(ctx, seed) })
	start := time.Now()
	p.place("west")
	p.waitFor("a quarter is usable in the west", func(e, w *migration.State) bool { return w.Usable("a") >= total/4 })
	t.Logf("after %v: the east restarts", time.Since(start))
	p.stop("east")
	p.start("east")
	p.waitFor("half is usable in the west", func(e, w *migration.State) bool { return w.Usable("a") >= total/2 })
	p.place("east")
	p.waitFor("the migration is reversed", func(e, w *migration.State) bool {
		m := w.Move(migration.Key{From: "east", To: "west", Service: "a"})
		return m.HasToken || m.End != migration.Open
	})
	t.Logf("after %v: the west restarts", time.Since(start))
	p.stop("west")
	p.start("west")
	p.waitFor("all is usable in the east and the migration is closed", func(e, w *migration.State) bool {
		m := e.Move(migration.Key{From: "east", To: "west", Service: "a"})
		return e.Usable("a") == total && m.Closed
	})
	t.Logf("after %v: the second migration starts", time.Since(start))
	p.place("west")
	p.waitFor("all is usable in the west and the second migration is closed", func(e, w *migration.State) bool {
		m := e.Move(migration.Key{From: "east", To: "west", Service: "a"})
		return w.Usable("a") == total && m.Closed && m.ID.Seq >= 2 && m.End != migration.Open
	})
	for _, n := range p.nodes["west"] {
		waitFor(t, n.Name+" uses all of it", func() bool { return n.EffectiveConfig(time.Now()).UsableReservations()["a"] == total.SlotStarts() })
	}
	p.waitFor("no violation is found", func(e, w *migration.State) bool { return true })
	p.mu.Lock()
	defer p.mu.Unlock()
	t.Logf("took %v, with %d cuts and %d messages", time.Since(start), p.faults, len(p.sentMessages))
}
