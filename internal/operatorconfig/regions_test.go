package operatorconfig

import (
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// The file for six regions is valid with the settings that its comments give for each link latency, and it lists
// 17 machines.
func TestRegions(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/regions.hcl")
	if err != nil {
		t.Fatal(err)
	}
	figures := regexp.MustCompile(`(?m)^  # +(\d+) ms: (lease = "[^"]+") +(period = "[^"]+") +(delay = "[^"]+")$`).FindAllStringSubmatch(string(raw), -1)
	if len(figures) != 3 {
		t.Fatalf("the comments give settings for %d link latencies, want 3", len(figures))
	}
	used := false
	for _, f := range figures {
		text := string(raw)
		for _, set := range f[2:] {
			key, _, _ := strings.Cut(set, " ")
			text = regexp.MustCompile(`(?m)^  `+key+` +=.*$`).ReplaceAllString(text, "  "+set)
		}
		file, err := Parse("regions.hcl", []byte(text))
		if err != nil {
			t.Errorf("%s ms: %v", f[1], err)
			continue
		}
		s, err := file.LeaseSettings()
		if err != nil || len(file.Warnings()) != 0 {
			t.Errorf("%s ms: got %v, warnings %q", f[1], err, file.Warnings())
		}
		if delay := s.NetworkDelaySeconds * 1000; delay <= 1.05*atof(t, f[1]) {
			t.Errorf("%s ms: a delay of %v ms is too close to the latency", f[1], delay)
		}
		unchanged, err := Parse("regions.hcl", raw)
		if err != nil {
			t.Fatal(err)
		}
		if actual, _ := unchanged.LeaseSettings(); actual == s {
			used = true
		}
		if n := len(file.Lease.Voters) + len(file.Shards.Instances); n != 17 || len(file.Lease.Voters) != 5 || len(file.Config.ShardInstances) != len(file.Shards.Instances) {
			t.Errorf("the file lists %d machines, want 17, 5 of them voters and the others shard instances", n)
		}
	}
	if !used {
		t.Error("the file's own settings are those of none of the link latencies in its comments")
	}
	longDelay := regexp.MustCompile(`(?m)^  delay +=.*$`).ReplaceAllString(string(raw), `  delay = "170ms"`)
	if f, err := Parse("regions.hcl", []byte(longDelay)); err == nil {
		if _, err = f.LeaseSettings(); err == nil || !strings.Contains(err.Error(), "accord.delay") {
			t.Errorf("a lease too short for its delay: got %v, want an error for accord.delay", err)
		}
	} else if !strings.Contains(err.Error(), "accord.delay") {
		t.Errorf("got %v, want an error for accord.delay", err)
	}
}

func atof(t *testing.T, s string) float64 {
	t.Helper()
	x, err := strconv.ParseFloat(s, 64)
	if err != nil {
		t.Fatal(err)
	}
	return x
}
