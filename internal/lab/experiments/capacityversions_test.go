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

// What is played for each length of links is what the operator's file for six regions names, and check takes it.
func TestVersionsPlayTheFile(t *testing.T) {
	raw, err := os.ReadFile("../../../deploy/regions.hcl")
	if err != nil {
		t.Fatal(err)
	}
	f, err := operatorconfig.Parse("regions.hcl", raw)
	if err != nil {
		t.Fatal(err)
	}
	if s, err := f.LeaseSettings(); err != nil || s != versionsRegions[80] {
		t.Errorf("the file has %+v, %v", s, err)
	}
	for ms, line := range map[int]string{20: `lease = "3s"   period = "500ms" delay = "40ms"`, 150: `lease = "3.6s" period = "500ms" delay = "170ms"`} {
		s := versionsRegions[ms]
		if err := s.Validate(); err != nil || !strings.Contains(string(raw), line) {
			t.Errorf("%d ms: %+v, %v", ms, s, err)
		}
	}
	if err := versionsFast.Validate(); err != nil {
		t.Error(err)
	}
}

// Five voters stand in five regions, dispatchers in all six.
func TestVersionsStandApart(t *testing.T) {
	at := placeInstances(capacity.NewLoad(100, 1), versionsMost)
	if !slices.Equal(at[:versionsVoters], []int{0, 1, 2, 3, 4}) {
		t.Errorf("voters stand in %v", at[:versionsVoters])
	}
	for r := range capacity.Target.Regions {
		if !slices.Contains(at[versionsVoters:], r) {
			t.Errorf("no dispatcher stands in region %d", r)
		}
	}
}

func TestVersionsInTime(t *testing.T) {
	if got := inTime([]float64{2, 3}, []float64{2, 5, 8, 9}); got < 0.92 || got > 0.93 { // 0.9 + 0.1/4
		t.Errorf("%v in time", got)
	}
	if got := inTime([]float64{2, 5}, []float64{5}); got != 0.45 {
		t.Errorf("%v in time", got)
	}
	if loose, exclusive := stated(lease.DefaultSettings, false), stated(lease.DefaultSettings, true); loose != 1.4 || exclusive < 4.19 || exclusive > 4.21 {
		t.Errorf("stated %v and %v", loose, exclusive)
	}
}

// A region's loss and a link's stop leave all that live with leases; with all voters in one region the claims
// of its loss break.
func TestVersionsNeedVotersApart(t *testing.T) {
	for _, close := range []bool{false, true} {
		s := &versionsStudy{CapacityParams: CapacityParams{Params: Params{Seed: 3, Quick: true, Log: t.Logf}}, f: &CapacityFound{}, close: close}
		s.losses(20, []uint64{3})
		s.f.setVerdict("versions", 3)
		if s.f.Held == close {
			t.Errorf("voters in one region %v: claims held %v: %+v", close, s.f.Held, s.f.Claims)
		}
		if !close && len(s.f.Claims) != 4 {
			t.Errorf("%d claims", len(s.f.Claims))
		}
	}
}

// The same seed gives the same figures, but for processor time and memory.
func TestVersionsAreSeeded(t *testing.T) {
	play := func() *versionsFigures {
		s := &versionsStudy{CapacityParams: CapacityParams{Params: Params{Seed: 5, Quick: true, Log: t.Logf}}, f: &CapacityFound{}}
		return s.play(s.run(5, 10, 12, versionsApart, lease.DefaultSettings))
	}
	one, two := play(), play()
	if len(one.concurrent[1]) != capacity.AtOnce || !slices.Equal(one.single[1], two.single[1]) || !slices.Equal(one.concurrent[1], two.concurrent[1]) || one.changeBytes[1][roleDispatcher] != two.changeBytes[1][roleDispatcher] {
		t.Errorf("%+v\n%+v", one, two)
	}
}
