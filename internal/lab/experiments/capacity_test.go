package experiments

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"example.org/bellstream/internal/lab/capacity"
	"example.org/bellstream/internal/operatorconfig"
)

// withParts plays the experiment with parts of a test's own.
func withParts(t *testing.T, parts ...CapacityPart) *Experiment {
	t.Helper()
	was := capacityParts
	t.Cleanup(func() { capacityParts = was })
	capacityParts = parts
	return &Experiment{Name: "capacity", Without: capacityWithout(), Parts: capacityNames(), Run: runCapacity}
}

func capacityPart(name string, without []string, row capacity.Row) CapacityPart {
	return CapacityPart{Name: name, Without: without, Run: func(p CapacityParams) (*CapacityResult, error) {
		f := &CapacityResult{}
		f.AtMost("fine", 2, 1, "s")
		f.Note("percentages", float64(len(p.Percents)), "")
		f.AddRows(row)
		return f, nil
	}}
}

// Each part's findings stand under its name; a row that breaks breaks no claim.
func TestCapacityParts(t *testing.T) {
	broken := capacity.AtMost(capacity.Bytes, 100, "bytes", 5000, 9000, "B/s", capacity.VirtualTime)
	e := withParts(t, capacityPart("one", []string{"a"}, broken), capacityPart("two", nil, broken))
	r, err := e.Play(Params{Seed: 5})
	if err != nil || !r.Held || len(r.Claims) != 2 || r.Claims[1].Name != "two: fine" || len(r.Rows) != 2 || r.Machine == "" || r.Beside[0].Value != 5 {
		t.Fatalf("%+v, %v", r, err)
	}
	var text, raw strings.Builder
	if err := r.Print(&text, false); err != nil || !strings.Contains(text.String(), "9,000 !") || !strings.Contains(text.String(), "not carried") {
		t.Errorf("%s, %v", text.String(), err)
	}
	var back Result
	if err := r.Print(&raw, true); err != nil || json.Unmarshal([]byte(raw.String()), &back) != nil || len(back.Rows) != 2 || back.Rows[0] != broken {
		t.Errorf("%s, %v", raw.String(), err)
	}
	if page := r.Page(); len(page.Tables) != 2 {
		t.Errorf("%+v", page.Tables)
	}
	if r, err := e.Play(Params{Only: "two", Quick: true}); err != nil || len(r.Claims) != 1 || r.Claims[0].Name != "two: fine" || r.Beside[0].Value != 2 {
		t.Errorf("two alone: %+v, %v", r, err)
	}
	if r, err := e.Play(Params{Only: "two,one"}); err != nil || len(r.Claims) != 2 {
		t.Errorf("both by name: %+v, %v", r, err)
	}
	if _, err := e.Play(Params{Only: "two,three"}); err == nil {
		t.Error("one of two parts is none, and both were played")
	}
	if r, err := e.Play(Params{Without: "a"}); err != nil || len(r.Claims) != 1 || r.Claims[0].Name != "one: fine" {
		t.Errorf("without a: %+v, %v", r, err)
	}
	if _, err := e.Play(Params{Only: "three"}); err == nil {
		t.Error("a part that is none was played")
	}
	if r, err := e.Play(Params{Only: "two", Without: "a"}); err != nil || r.Held {
		t.Errorf("a part without what it does not have: %+v, %v", r, err)
	}
}

// A row that is no figure, or of no line of the target's, is an error, and so is a part that fails.
func TestCapacityRefuses(t *testing.T) {
	for _, row := range []capacity.Row{
		capacity.AtMost("no such line", 100, "x", 1, 1, "s", capacity.VirtualTime),
		capacity.AtMost(capacity.Bytes, 100, "x", 1, math.NaN(), "s", capacity.VirtualTime),
		capacity.AtMost(capacity.Bytes, 100, "x", 1, math.Inf(1), "s", capacity.VirtualTime),
	} {
		if _, err := withParts(t, capacityPart("one", nil, row)).Play(Params{}); err == nil {
			t.Errorf("%+v is taken", row)
		}
	}
	e := withParts(t, CapacityPart{Name: "x", Run: func(CapacityParams) (*CapacityResult, error) { return nil, errors.New("no") }})
	if _, err := e.Play(Params{}); err == nil || !strings.Contains(err.Error(), "x: no") {
		t.Errorf("%v", err)
	}
	void := CapacityPart{Name: "x", Run: func(CapacityParams) (*CapacityResult, error) {
		f := &CapacityResult{}
		f.AtMost("fine", 2, 1, "s")
		f.Void = "one died"
		return f, nil
	}}
	if r, err := withParts(t, void).Play(Params{}); err != nil || r.Held || r.Void != "x: one died" {
		t.Errorf("%+v, %v", r, err)
	}
}

// The same seed plays the same; what is counted at the receivers is what was sent, less what is lost or under way.
func TestCapacityExchangeBySeed(t *testing.T) {
	for _, homes := range []int{0, operatorconfig.DefaultOwners} {
		t.Run(fmt.Sprintf("%d homes", homes), func(t *testing.T) { exchangeBySeed(t, homes) })
	}
}

func exchangeBySeed(t *testing.T, homes int) {
	play := func(seed uint64) exchangeResult {
		x := &exchangeRun{seed: seed, n: 6, percent: 10, starts: 10, settings: ownerSettings(6, homes), rest: 2, load: 30, zoneLoss: 4, regionLoss: 4, instanceLoss: 4, partition: 3}
		got := x.play()
		if len(got.nearDelays)+len(got.farDelays) == 0 || len(got.moveTimes)+got.unmoved != 10 {
			t.Errorf("nothing was probed: %+v", got)
		}
		got.restCPU, got.loadCPU, got.heap, got.took = 0, 0, 0, 0 // the machine's
		return got
	}
	a, b, c := play(5), play(5), play(6)
	if a.loadSent != b.loadSent || a.worstSecond != b.worstSecond || a.zoneLossWorst != b.zoneLossWorst || quantile(a.farDelays, 0.5) != quantile(b.farDelays, 0.5) || a.zoneLossShare != b.zoneLossShare || a.regionLossShare != b.regionLossShare {
		t.Errorf("one seed, two plays: %+v, %+v", a, b)
	}
	if a.loadSent == c.loadSent {
		t.Error("two seeds, one play")
	}
	if a.loadSent <= 0 || math.Abs(a.loadReceived/a.loadSent-1) > 0.02 || a.zoneLossSent <= 0 || a.worstSecond < a.loadSent+a.loadReceived || a.overAllotted > 0 || a.overcounted > 0 || a.instanceLossShare <= 0 || a.instanceLossSent <= 0 || a.zoneLossShare <= 0 || a.regionLossShare <= 0 || a.regionLossShare > 2 {
		t.Errorf("%+v", a)
	}
}
