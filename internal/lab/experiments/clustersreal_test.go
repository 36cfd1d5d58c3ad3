package experiments

import (
	"math/rand/v2"
	"testing"

	"example.org/bellstream/internal/operatorconfig"
)

// Checks two sites on one relay: instances are numbered consecutively, so that links between the clusters can be
// identified, and each instance's file, for both placements, names the other cluster's voters by their forwarders.
func TestSitesOnOneRelay(t *testing.T) {
	x := &migrationRun{p: Params{Seed: 7, Out: t.TempDir()}, rng: rand.New(rand.NewPCG(7, 0))}
	relay := NewRelay(7, Link{})
	defer relay.Close()
	for i := range 2 {
		c := &Processes{Relay: relay, seed: 7}
		x.sites = append(x.sites, c)
		defer c.Close()
		if err := x.site().createInstances(x.p, c, i*crossN); err != nil {
			t.Fatal(err)
		}
	}
	for side, c := range x.sites {
		c.Sites = x.sites
		for k, i := range c.Nodes {
			if i.Index != side*crossN+k {
				t.Errorf("%s: got index %d, want its consecutive number", i.Name, i.Index)
			}
			x.placedAt = k % 2
			if err := i.Write(x.file(c, i, 5)); err != nil {
				t.Fatal(err)
			}
			f, err := operatorconfig.Load(i.File)
			if err != nil {
				t.Fatal(err)
			}
			if err := f.Proposal().Validate(); err != nil {
				t.Error(err)
			}
			peer := f.Migration.Peers[0]
			for _, y := range x.sites[1-side].Nodes {
				if peer.Voters[y.Name] != y.AccordAddr {
					t.Errorf("address in the file of %s for voter %s: got %q, want %q", i.Name, y.Name, peer.Voters[y.Name], y.AccordAddr)
				}
			}
			if f.Migration.Self == peer.Name || f.Lease.Cluster == peer.Cluster {
				t.Errorf("%s: its peer has the same name %s or accord cluster %s", i.Name, f.Migration.Self, f.Lease.Cluster)
			}
		}
	}
}
