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

// withParts returns the experiment with the given parts; the original ones are restored when the test ends.
func withParts(t *testing.T, parts ...CapacityPart) *Experiment {
	t.Helper()
	original := capacityParts
	t.Cleanup(func() { capacityParts = original })
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

// Each part's claims and notes are listed under its name, and a row that breaks its bound does not break a claim.
func TestCapacityParts(t *testing.T) {
	broken := capacity.AtMost(capacity.Bytes, 100, "bytes", 5000, 9000, "B/s", capacity.VirtualTime)
	e := withParts(t, capacityPart("one", []string{"a"}, broken), capacityPart("two", nil, broken))
	r, err := e.Play(Params{Seed: 5})
	if err != nil || !r.Held || len(r.Claims) != 2 || r.Claims[1].Name != "two: fine" || len(r.Rows) != 2 || r.Machine == "" || r.Beside[0].Value != 5 {
		t.Fatalf("got %+v, error %v, want two claims held and two rows", r, err)
	}
	var text, raw strings.Builder
	if err := r.Print(&text, false); err != nil || !strings.Contains(text.String(), "9,000 !") || !strings.Contains(text.String(), "not carried") {
		t.Errorf("printed text lacks the broken row: %s, error %v", text.String(), err)
	}
	var back Result
	if err := r.Print(&raw, true); err != nil || json.Unmarshal([]byte(raw.String()), &back) != nil || len(back.Rows) != 2 || back.Rows[0] != broken {
		t.Errorf("JSON does not read back with both rows: %s, error %v", raw.String(), err)
	}
	if page := r.Page(); len(page.Tables) != 2 {
		t.Errorf("got tables %+v, want 2", page.Tables)
	}
	if r, err := e.Play(Params{Only: "two", Quick: true}); err != nil || len(r.Claims) != 1 || r.Claims[0].Name != "two: fine" || r.Beside[0].Value != 2 {
		t.Errorf("part two alone: got %+v, error %v", r, err)
	}
	if r, err := e.Play(Params{Only: "two,one"}); err != nil || len(r.Claims) != 2 {
		t.Errorf("both parts by name: got %+v, error %v", r, err)
	}
	if _, err := e.Play(Params{Only: "two,three"}); err == nil {
		t.Error("an unknown part among the names was accepted")
	}
	if r, err := e.Play(Params{Without: "a"}); err != nil || len(r.Claims) != 1 || r.Claims[0].Name != "one: fine" {
		t.Errorf("without a: got %+v, error %v", r, err)
	}
	if _, err := e.Play(Params{Only: "three"}); err == nil {
		t.Error("an unknown part was accepted")
	}
	if r, err := e.Play(Params{Only: "two", Without: "a"}); err != nil || r.Held {
		t.Errorf("a part without a mechanism that it does not have: got %+v, error %v", r, err)
	}
}

// A row whose value is not finite, or whose line the target does not have, is an error; so is a part that fails.
func TestCapacityRejectsBadRows(t *testing.T) {
	for _, row := range []capacity.Row{
		capacity.AtMost("no such line", 100, "x", 1, 1, "s", capacity.VirtualTime),
		capacity.AtMost(capacity.Bytes, 100, "x", 1, math.NaN(), "s", capacity.VirtualTime),
		capacity.AtMost(capacity.Bytes, 100, "x", 1, math.Inf(1), "s", capacity.VirtualTime),
	} {
		if _, err := withParts(t, capacityPart("one", nil, row)).Play(Params{}); err == nil {
			t.Errorf("row %+v was accepted", row)
		}
	}
	e := withParts(t, CapacityPart{Name: "x", Run: func(CapacityParams) (*CapacityResult, error) { return nil, errors.New("no") }})
	if _, err := e.Play(Params{}); err == nil || !strings.Contains(err.Error(), "x: no") {
		t.Errorf("got error %v, want \"x: no\"", err)
	}
	void := CapacityPart{Name: "x", Run: func(CapacityParams) (*CapacityResult, error) {
		f := &CapacityResult{}
		f.AtMost("fine", 2, 1, "s")
		f.Void = "one died"
		return f, nil
	}}
	if r, err := withParts(t, void).Play(Params{}); err != nil || r.Held || r.Void != "x: one died" {
		t.Errorf("void part: got %+v, error %v", r, err)
	}
}

// The same seed gives the same run, and the bytes received equal the bytes sent, except for lost messages and
// messages in flight.
func TestCapacityExchangeBySeed(t *testing.T) {
	for _, owners := range []int{0, operatorconfig.DefaultOwners} {
		t.Run(fmt.Sprintf("%d homes", owners), func(t *testing.T) { exchangeBySeed(t, owners) })
	}
}

func exchangeBySeed(t *testing.T, owners int) {
	runSeed := func(seed uint64) exchangeResult {
		run := &exchangeRun{seed: seed, n: 6, percent: 10, starts: 10, settings: ownerSettings(6, owners), rest: 2, load: 30, zoneLoss: 4, regionLoss: 4, instanceLoss: 4, partition: 3}
		result := run.play()
		if len(result.nearDelays)+len(result.farDelays) == 0 || len(result.moveTimes)+result.unmoved != 10 {
			t.Errorf("no update delays or not all moves were measured: %+v", result)
		}
		result.restCPU, result.loadCPU, result.heap, result.took = 0, 0, 0, 0 // these depend on the machine
		return result
	}
	first, repeated, otherSeed := runSeed(5), runSeed(5), runSeed(6)
	if first.loadSent != repeated.loadSent || first.worstSecond != repeated.worstSecond || first.zoneLossWorst != repeated.zoneLossWorst || quantile(first.farDelays, 0.5) != quantile(repeated.farDelays, 0.5) || first.zoneLossShare != repeated.zoneLossShare || first.regionLossShare != repeated.regionLossShare {
		t.Errorf("the same seed gave different results: %+v, %+v", first, repeated)
	}
	if first.loadSent == otherSeed.loadSent {
		t.Error("different seeds gave the same result")
	}
	if first.loadSent <= 0 || math.Abs(first.loadReceived/first.loadSent-1) > 0.02 || first.zoneLossSent <= 0 || first.worstSecond < first.loadSent+first.loadReceived || first.overAllotted > 0 || first.overcounted > 0 || first.instanceLossShare <= 0 || first.instanceLossSent <= 0 || first.zoneLossShare <= 0 || first.regionLossShare <= 0 || first.regionLossShare > 2 {
		t.Errorf("results out of bounds: %+v", first)
	}
}
