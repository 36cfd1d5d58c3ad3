package experiments

import (
	"os"
	"slices"
	"strings"
	"testing"

	"example.org/bellstream/internal/cluster/lease"
	"example.org/bellstream/internal/lab/capacity"
	"example.org/bellstream/internal/operatorconfig"
)

// The lease settings for each delay between regions are those in the operator's file for six regions, and they are
// valid.
func TestLeaseSettingsMatchTheFile(t *testing.T) {
	raw, err := os.ReadFile("../../../deploy/regions.hcl")
	if err != nil {
		t.Fatal(err)
	}
	f, err := operatorconfig.Parse("regions.hcl", raw)
	if err != nil {
		t.Fatal(err)
	}
	if s, err := f.LeaseSettings(); err != nil || s != versionsLeaseSettings[80] {
		t.Errorf("got %+v from the file, error %v", s, err)
	}
	for ms, line := range map[int]string{20: `lease = "3s"   period = "500ms" delay = "40ms"`, 150: `lease = "3.6s" period = "500ms" delay = "170ms"`} {
		s := versionsLeaseSettings[ms]
		if err := s.Validate(); err != nil || !strings.Contains(string(raw), line) {
			t.Errorf("%d ms: settings %+v are invalid or not in the file: %v", ms, s, err)
		}
	}
	if err := versionsFast.Validate(); err != nil {
		t.Error(err)
	}
}

// Each of the five voters is in a region of its own; the dispatchers are in all six regions.
func TestVotersInDifferentRegions(t *testing.T) {
	regions := placeInstances(capacity.NewLoad(100, 1), versionsSize)
	if !slices.Equal(regions[:versionsVoters], []int{0, 1, 2, 3, 4}) {
		t.Errorf("got voters in regions %v, want one in each of the first five", regions[:versionsVoters])
	}
	for r := range capacity.Target.Regions {
		if !slices.Contains(regions[versionsVoters:], r) {
			t.Errorf("no dispatcher is in region %d", r)
		}
	}
}

func TestVersionsInTime(t *testing.T) {
	// 0.9 of the changes are single, all in time; 0.1 are concurrent, one in four in time: 0.9 + 0.1/4.
	if got := fractionInTime([]float64{2, 3}, []float64{2, 5, 8, 9}); got < 0.92 || got > 0.93 {
		t.Errorf("got fraction %v in time, want 0.925", got)
	}
	if got := fractionInTime([]float64{2, 5}, []float64{5}); got != 0.45 {
		t.Errorf("got fraction %v in time, want 0.45", got)
	}
	if loose, exclusive := statedBound(lease.DefaultSettings, false), statedBound(lease.DefaultSettings, true); loose != 1.4 || exclusive < 4.19 || exclusive > 4.21 {
		t.Errorf("got bounds %v and %v s, want 1.4 and 4.2 s", loose, exclusive)
	}
}

// After the loss of a region or of a link between regions all live instances get leases again; with all voters in one
// region the claims about that region's loss break.
func TestVersionsNeedVotersInDifferentRegions(t *testing.T) {
	for _, close := range []bool{false, true} {
		s := &versionsStudy{CapacityParams: CapacityParams{Params: Params{Seed: 3, Quick: true, Log: t.Logf}}, result: &CapacityResult{}, close: close}
		s.losses(20, []uint64{3})
		s.result.setVerdict("versions", 3)
		if s.result.Held == close {
			t.Errorf("all voters in one region: %v, but claims held: %v: %+v", close, s.result.Held, s.result.Claims)
		}
		if !close && len(s.result.Claims) != 4 {
			t.Errorf("got %d claims, want 4", len(s.result.Claims))
		}
	}
}

// The same seed gives the same figures, except for CPU time and memory.
func TestVersionsAreSeeded(t *testing.T) {
	play := func() *versionsFigures {
		s := &versionsStudy{CapacityParams: CapacityParams{Params: Params{Seed: 5, Quick: true, Log: t.Logf}}, result: &CapacityResult{}}
		return s.play(s.run(5, 10, 12, versionsRegionDelay, lease.DefaultSettings))
	}
	one, two := play(), play()
	if len(one.concurrent[1]) != capacity.AtOnce || !slices.Equal(one.single[1], two.single[1]) || !slices.Equal(one.concurrent[1], two.concurrent[1]) || one.changeBytes[1][roleDispatcher] != two.changeBytes[1][roleDispatcher] {
		t.Errorf("the same seed gave different results:\n%+v\n%+v", one, two)
	}
}
