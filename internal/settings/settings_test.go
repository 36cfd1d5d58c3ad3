package settings

import (
	"reflect"
	"strings"
	"testing"

	"example.org/bellstream/balance"
)

const sampleSettings = `{"me":1,"balancers":4,"zone":"fana","membership_mode":"on_request","kinds":["big","small"],"novel":{"x":[1]},
 "lanes":[{"name":"a","aim":0.15,"hard_limit":5,"semantics":"safe","value":5},
  {"name":"b","aim":0.3,"hard_limit":8,"semantics":"keyed","dedup_scope":"zone","repeat_window":12,"value":8}],
 "family_info":{"class_kind":[-1,0],"class_stretch":[2,1.75],"report_x0":"free slots","report_x1":"free memory","tells_start":true},
 "parties":[{"name":"p","quota_per_s":14,"share":0.33}],"reporting":{"fields":["avg_ms","waiting","x0","x1"],"how":"pull"},
 "caps":{"retry_after":true,"max_retry_after":2,"dial_timeout":0.25,"keepalive":15,"max_attempts":3},"rules":{"drain_grace":2},"charges":{"probe":0.01},"round":0.004}`

func TestConfig(t *testing.T) {
	s, err := Parse([]byte(sampleSettings))
	if err != nil {
		t.Fatal(err)
	}
	c := s.Config()
	if c.Index != 1 || c.Dispatchers != 4 || c.Zone != "fana" || !c.PollEndpoints || c.MaxRetryAfter != 2 || c.Tick != 0.004 || c.HealthCheckCost != 0.01 {
		t.Errorf("got %+v", c)
	}
	want := balance.Class{Name: "b", LatencyObjective: 0.3, ObjectiveStretch: 1.75, Deadline: 8, PriorityWeight: 8, Idempotence: balance.IdempotentWithKey,
		DedupScope: balance.ScopeZone, DedupWindow: 12, WorkerKind: "big"}
	if c.Classes[1] != want || c.Classes[0].WorkerKind != "" {
		t.Errorf("got %+v", c.Classes)
	}
	if got := strings.Join(c.ReportFields, ","); got != ",waiting,free_slots,free_memory" {
		t.Errorf("got report fields %s", got)
	}
	if s, err = Parse([]byte(strings.Replace(sampleSettings, "pull", "silent", 1))); err != nil || len(s.Config().ReportFields) > 0 {
		t.Errorf("silent workers: got report fields %v, error %v", s.Config().ReportFields, err)
	}
}

// An invalid configuration is reported as one error on one line. It never causes a panic, nor a dispatcher that
// runs with zero values.
func TestInvalidConfiguration(t *testing.T) {
	for _, c := range [][2]string{
		{`{`, "not valid JSON"},
		{`{"listen":5}`, "listen: unexpected Number"},
		{`{"discovery":"x"}`, "listen: missing"},
		{`{"listen":"x"}`, "discovery: missing"},
		{`{"listen":"x:1","discovery":"x"}`, "not host:port"},
		{`{"listen":"x:1","discovery":"x:1","seed":"no"}`, "seed:"},
		{`{"listen":"x:1","discovery":"x:1","limits":{"sockets":-1}}`, "limits:"},
		{`{"listen":"x:1","discovery":"x:1"}`, "settings: not"},
		{`{"listen":"x:1","discovery":"x:1","settings":{"lanes":{}}}`, "lanes: not an array"},
		{`{"listen":"x:1","discovery":"x:1","settings":{"lanes":[{"aim":"x"}]}}`, "lanes[0]: aim: unexpected String"},
	} {
		if _, err := ParseInstance([]byte(c[0])); err == nil || !strings.Contains(err.Error(), c[1]) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got %v, want %q", c[0], err, c[1])
		}
	}
	i, err := ParseInstance([]byte(`{"name":"n","listen":"x:1","discovery":"y:1","seed":"8c1f30d27a5be964","known":{"seq":1},"settings":` + sampleSettings + `}`))
	if err != nil || i.Seed != 0x8c1f30d27a5be964 || string(i.CachedEndpoints) != `{"seq":1}` {
		t.Errorf("got %+v, %v", i, err)
	}
	if _, err := Load("/does/not/exist"); err == nil {
		t.Error("loading a missing file returned no error")
	}
}

// The names of classes, tenants, zones and worker kinds are passed on unchanged and have no other effect: with
// other names in the settings, only the names in the configuration differ.
func TestNamesHaveNoEffect(t *testing.T) {
	parse := func(text string) balance.Config {
		s, err := Parse([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		return s.Config()
	}
	// The names include the quotes, so that no part of another key or value is replaced.
	replacements := []string{`"a"`, `"zz 9"`, `"b"`, `"a"`, `"p"`, `"fana"`, `"fana"`, `"p"`, `"big"`, `"small"`, `"small"`, `"ä"`}
	replacer := strings.NewReplacer(replacements...)
	want, got := parse(sampleSettings), parse(replacer.Replace(sampleSettings))
	renamed := func(name string) string { return strings.Trim(replacer.Replace(`"`+name+`"`), `"`) }
	want.Zone = renamed(want.Zone)
	for i := range want.Classes {
		class := &want.Classes[i]
		class.Name, class.WorkerKind = renamed(class.Name), renamed(class.WorkerKind)
	}
	for i := range want.Tenants {
		want.Tenants[i].Name = renamed(want.Tenants[i].Name)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("with other names got %+v, want %+v", got, want)
	}
}
