package shard

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"example.org/bellstream/balance"
)

// TestReconcile checks that one reconciliation repairs any mix of jobs that the owner lacks, has in another state or has
// without the origin.
func TestReconcile(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newOriginAndOwner(t, rapid.IntRange(0, 400).Draw(rt, "jobs"))
		if c, ok := p.log.Digest(); !ok {
			rt.Fatal("Digest has nothing to compare, though all updates are acknowledged")
		} else if d, differs := p.owner.Compare(c); differs {
			rt.Fatalf("buckets %v differ though the owner is in sync", d.Buckets)
		}
		ids := slices.SortedFunc(maps.Keys(p.owner.jobs), func(a, b JobKey) int { return compareJobKeys(a, b) })
		damage := 0
		for i, k := range ids {
			switch rapid.IntRange(0, 20).Draw(rt, "damage") {
			case 0:
				p.owner.remove(k, p.owner.jobs[k])
				damage++
			case 1:
				p.owner.jobs[k].Attempts = []Attempt{{Outcome: balance.ConnectionLost}}
				damage++
			case 2:
				k.ID = fmt.Sprint("extra", i)
				p.owner.insert(k, &ownedJob{JobRecord: JobRecord{ID: k.ID, Origin: k.Origin, Tenant: "t"}}, 0)
				damage++
			}
		}
		c, _ := p.log.Digest()
		d, differs := p.owner.Compare(c)
		if differs != (damage > 0) {
			rt.Fatalf("%d jobs damaged; Compare reports a difference: %v", damage, differs)
		}
		repaired := 0
		for _, contents := range p.log.BucketContents(d) {
			updates, request := p.owner.Reconcile(contents)
			repaired += len(updates) + len(request.IDs)
			if n := p.log.QueueResend(request); n != len(request.IDs) {
				rt.Fatalf("%d of %d requested jobs queued", n, len(request.IDs))
			}
		}
		p.sync(1)
		c, _ = p.log.Digest()
		if d, differs := p.owner.Compare(c); differs || repaired != damage || p.owner.JobCount() != p.log.OpenJobs() {
			rt.Fatalf("%d jobs damaged, %d repaired, buckets %v still differ", damage, repaired, d.Buckets)
		}
	})
}

// TestReconcileStale checks that a digest or a list of jobs that later updates have outdated has no effect.
func TestReconcileStale(t *testing.T) {
	p := newOriginAndOwner(t, 3)
	c, _ := p.log.Digest()
	p.log.FinishJob("j0")
	if _, ok := p.log.Digest(); ok {
		t.Error("Digest returned a digest while an update is unsent")
	}
	p.sync(1)
	if d, differs := p.owner.Compare(c); differs {
		t.Errorf("Compare with an outdated digest: got %v, want no difference", d)
	}
	if updates, request := p.owner.Reconcile(BucketContents{Shard: 3, Epoch: 1, Origin: "h#1", LastUpdate: c.LastUpdate}); updates != nil || request.IDs != nil {
		t.Errorf("Reconcile with an outdated list: got updates %v and request %v, want none", updates, request)
	}
}

// TestReconcileInChunks checks that messages are bounded and that each range of ids is listed once.
func TestReconcileInChunks(t *testing.T) {
	p := newOriginAndOwner(t, 40_000)
	for k, j := range p.owner.jobs {
		if bucketOf(k.ID) == 7 {
			p.owner.remove(k, j)
		}
	}
	c, _ := p.log.Digest()
	d, _ := p.owner.Compare(c)
	messages, requested := 0, 0
	for _, contents := range p.log.BucketContents(d) {
		_, request := p.owner.Reconcile(contents)
		messages, requested = messages+1, requested+len(request.IDs)
		if len(contents.Jobs) > MaxChunkRecords {
			t.Errorf("%d jobs in one message", len(contents.Jobs))
		}
	}
	if !slices.Equal(d.Buckets, []int{7}) || messages < 3 || requested != 40_000-p.owner.JobCount() {
		t.Errorf("buckets %v differ, %d messages, %d jobs requested, the owner has %d", d.Buckets, messages, requested, p.owner.JobCount())
	}
}
