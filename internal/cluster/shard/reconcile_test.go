package shard

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"example.org/bellstream/balance"
)

// Whatever an owner has lost, made up or missed, one comparison mends.
func TestReconcile(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newOriginAndOwner(t, rapid.IntRange(0, 400).Draw(rt, "jobs"))
		if c, ok := p.log.Digest(); !ok {
			rt.Fatal("nothing to compare")
		} else if d, differs := p.owner.Compare(c); differs {
			rt.Fatalf("%v differ in an owner that is right", d.Buckets)
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
				k.ID = fmt.Sprint("ghost", i)
				p.owner.insert(k, &ownedJob{JobRecord: JobRecord{ID: k.ID, Origin: k.Origin, Tenant: "t"}}, 0)
				damage++
			}
		}
		c, _ := p.log.Digest()
		d, differs := p.owner.Compare(c)
		if differs != (damage > 0) {
			rt.Fatalf("%d damaged, differs: %v", damage, differs)
		}
		mended := 0
		for _, h := range p.log.BucketContents(d) {
			news, want := p.owner.Reconcile(h)
			mended += len(news) + len(want.IDs)
			if n := p.log.QueueResend(want); n != len(want.IDs) {
				rt.Fatalf("%d of %d sent", n, len(want.IDs))
			}
		}
		p.sync(1)
		c, _ = p.log.Digest()
		if d, differs := p.owner.Compare(c); differs || mended != damage || p.owner.JobCount() != p.log.OpenJobs() {
			rt.Fatalf("%d damaged, %d reconciled, %v differ", damage, mended, d.Buckets)
		}
	})
}

// What was sent since makes a comparison meaningless: nothing follows from it.
func TestReconcileStale(t *testing.T) {
	p := newOriginAndOwner(t, 3)
	c, _ := p.log.Digest()
	p.log.FinishJob("j0")
	if _, ok := p.log.Digest(); ok {
		t.Error("compared though something is not sent")
	}
	p.sync(1)
	if d, differs := p.owner.Compare(c); differs {
		t.Errorf("an old comparison differs: %v", d)
	}
	if news, want := p.owner.Reconcile(BucketContents{Shard: 3, Epoch: 1, Origin: "h#1", LastUpdate: c.LastUpdate}); news != nil || want.IDs != nil {
		t.Errorf("an old list mends: %v %v", news, want)
	}
}

// Pieces are bounded, and each range of ids is spoken of once.
func TestReconcileInChunks(t *testing.T) {
	p := newOriginAndOwner(t, 40_000)
	for k, j := range p.owner.jobs {
		if bucketOf(k.ID) == 7 {
			p.owner.remove(k, j)
		}
	}
	c, _ := p.log.Digest()
	d, _ := p.owner.Compare(c)
	pieces, wanted := 0, 0
	for _, h := range p.log.BucketContents(d) {
		_, w := p.owner.Reconcile(h)
		pieces, wanted = pieces+1, wanted+len(w.IDs)
		if len(h.Jobs) > MaxChunkRecords {
			t.Errorf("%d in one chunk", len(h.Jobs))
		}
	}
	if !slices.Equal(d.Buckets, []int{7}) || pieces < 3 || wanted != 40_000-p.owner.JobCount() {
		t.Errorf("buckets %v, %d chunks, %d wanted, %d here", d.Buckets, pieces, wanted, p.owner.JobCount())
	}
}
