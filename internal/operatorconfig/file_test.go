package operatorconfig

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"example.org/bellstream/internal/cluster/quota"
	"example.org/bellstream/internal/settings"
)

// Each error in a file names file, line and key, and all errors are reported at once.
func TestErrorsNameFileLineAndKey(t *testing.T) {
	dir := t.TempDir()
	badKeyFile := filepath.Join(dir, "keys")
	os.WriteFile(badKeyFile, []byte("# keys\nc2VjcmV0IHNlY3JldA==\n"), 0o600)
	const peers = "peers {\n listen = \"127.0.0.1:1\"\n cluster = \"c\"\n"
	const moves = "\nclusters {\n self = \"east\"\n"
	const accord = "accord {\n cluster = \"c\"\n listen = \"127.0.0.1:1\"\n folder = \"f\"\n" +
		" voters = { a = \"127.0.0.1:1\", b = \"127.0.0.1:2\", c = \"127.0.0.1:3\" }\n}\n"
	for _, c := range []struct{ text, want string }{
		{"log {", "f.hcl:1: "},
		{"nothing {}", "f.hcl:1: Unsupported block type"},
		{"log {\n level = \"loud\"\n}", "f.hcl:2: log.level: \"loud\" is not one of debug"},
		{"log {\n format = \"xml\"\n}", "f.hcl:2: log.format"},
		{"log {\n colour = true\n}", "f.hcl:2: Unsupported argument"},
		{"admin {\n}", "f.hcl:1: Missing required argument"},
		{"admin {\n listen = \"x\"\n}", "f.hcl:2: admin.listen: \"x\" is not host:port"},
		{"admin {\n listen = 5\n}\nadmin {\n listen = \"127.0.0.1:1\"\n}", "f.hcl:4: Duplicate admin block"},
		{peers + " join = [\"n2.example:1\"]\n}", "f.hcl:4: peers.join: \"n2.example:1\": \"n2.example\" is not an IP address"},
		{peers + " join = [\"127.0.0.1:0\"]\n}", "f.hcl:4: peers.join: \"127.0.0.1:0\" has no port"},
		{peers + " period = \"fast\"\n}", "f.hcl:4: peers.period: \"fast\" is not a duration"},
		{peers + " period = \"1ms\"\n}", "f.hcl:4: peers.period: 0.001 s"},
		{peers + " key_file = \"" + badKeyFile + "\"\n}", "keys:2: not a key"},
		{peers + " key_file = \"/none\"\n}", "f.hcl:4: peers.key_file: open /none"},
		{peers + "}\ncounts {\n loss = 0.9\n}", "f.hcl:6: counts.loss: 0.9"},
		{peers + "}\ncounts {\n staleness = \"500ms\"\n}", "f.hcl:6: counts.staleness: 0.50 s is too short"},
		{peers + "}\ncounts {\n instances = -1\n}", "f.hcl:6: counts.instances"},
		{peers + "}\ncounts {\n homes = 17\n}", "f.hcl:6: counts.homes"},
		{peers + "}\ncounts {\n homes = -1\n}", "f.hcl:6: counts.homes"},
		{"waiting {\n grace = \"later\"\n}", "f.hcl:2: waiting.grace: \"later\" is not a duration"},
		{"ageing {\n max_wait = \"long\"\n classes = [\"c\"]\n}", "f.hcl:2: ageing.max_wait: \"long\""},
		{"ageing {\n max_wait = \"5s\"\n classes = [\"c\", \"c\"]\n}", "f.hcl:3: ageing.classes: class \"c\" is named twice"},
		{"waiting {\n jobs = 0\n}", "f.hcl:2: waiting.jobs: 0 is not above 0"},
		{"waiting {\n bytes = \"much\"\n}", "f.hcl:2: "},
		{"counts {\n floor = 0.1\n}", "f.hcl:1: counts: has no effect"},
		{"clusters {\n self = \"east\"\n}", "f.hcl:1: clusters: has no effect without an accord block"},
		{moves + " at_once = 0\n}", "f.hcl:4: clusters.at_once: 0 is not from 1"},
		{moves + " linger = \"long\"\n}", "f.hcl:4: clusters.linger: \"long\" is not a duration"},
		{moves + " peer \"east\" {\n  cluster = \"c\"\n  voters = { a = \"x:1\" }\n }\n}", "f.hcl:2: clusters: peer \"east\": the name is already used"},
		{moves + " peer \"west\" {\n  cluster = \"c\"\n  voters = { a = \"x:1\" }\n }\n}", "voter \"a\": \"x:1\": \"x\" is not an IP address"},
		{moves + "}\nrules {\n based_on = 0\n}", "f.hcl:3: clusters.self: the rules block has no cluster \"east\""},
		{"rules {\n}", "f.hcl:1: Missing required argument"},
		{"\nrules {\n based_on = 0\n tenant \"n\" {\n  weight = 0\n }\n}", "f.hcl:5: rules.tenant \"n\".weight: 0 is not above 0"},
		{accord + "rules {\n based_on = 0\n cluster \"east\" {\n  capacity = 9\n }\n tenant \"n\" {\n  reservation = 1\n }\n placement \"n\" {\n  cluster = \"east\"\n }\n}",
			"f.hcl:7: rules.placement \"n\": a placed service would have no reservation"},
		{"rules {\n based_on = 0\n}\nrules {\n based_on = 1\n}", "f.hcl:4: Duplicate rules block"},
	} {
		_, err := Parse("f.hcl", []byte(c.text))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s\ngot  %v\nwant %s", c.text, err, c.want)
		} else if strings.Contains(err.Error(), "c2VjcmV0") {
			t.Errorf("the error contains a key: %v", err)
		}
	}
	file, err := Parse("f.hcl", []byte("log {\n level = \"loud\"\n format = \"xml\"\n}"))
	if file == nil || strings.Count(err.Error(), "\n") != 1 {
		t.Errorf("got %v, want an error of two lines", err)
	}
}

// A max_error that can't be met is rejected with an error that names the setting to change.
func TestQuotaBounds(t *testing.T) {
	parse := func(counts string) *File {
		f, err := Parse("f.hcl", []byte("peers {\n listen = \"127.0.0.1:1\"\n cluster = \"c\"\n}\ncounts {\n"+counts+"\n}"))
		if err != nil {
			t.Fatal(err)
		}
		return f
	}
	tenants := []quota.Tenant{{Name: "a", Quota: 20}, {Name: "b", Quota: 8}, {Name: "none"}}
	if _, b, err := parse("max_error = 0.2").FitQuota(5, tenants); err != nil || b.ShareError <= 0 || b.ShareError > 0.2 {
		t.Errorf("got %+v, %v, want a share error above 0, up to 0.2", b, err)
	}
	// There are three owners by default, and loans expire sooner without owners.
	for counts, want := range map[string]quota.Bounds{"": {Owners: 3, LoanExpiry: 20}, "homes = 0": {Owners: 5, LoanExpiry: 4}, "homes = 2\nstaleness = \"6s\"": {Owners: 2, LoanExpiry: 6}} {
		if _, b, err := parse(counts).FitQuota(5, tenants); err != nil || b.Owners != want.Owners || b.LoanExpiry != want.LoanExpiry || b.AllotmentError != 0 || b.FailoverDelay < b.ShiftDelay || b.RemainingFraction != 1-1/float64(want.Owners) {
			t.Errorf("%s: got bounds %+v, %v", counts, b, err)
		}
	}
	for counts, want := range map[string]string{
		"max_error = 0.01":                   "f.hcl:1: peers.period: max_error 0.010 can't be met",
		"max_error = 0.3\nfloor = 0.4":       "f.hcl:7: counts.floor",
		"max_error = 0.2\ninstances = 100":   "f.hcl:6: counts.max_error",
		"max_error = 0.2\nloss = 0.45":       "",
		"staleness = \"1500ms\"\nloss = 0.4": "f.hcl:6: counts.staleness",
	} {
		f, err := Parse("f.hcl", []byte("peers {\n listen = \"127.0.0.1:1\"\n cluster = \"c\"\n}\ncounts {\n"+counts+"\n}"))
		if err == nil {
			_, _, err = f.FitQuota(5, tenants)
		}
		if want == "" && err != nil && !strings.Contains(err.Error(), "max_error") || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%s: got %v, want %s", counts, err, want)
		}
	}
}

// Settings without a report field for free slots cause a warning.
func TestWarnsWithoutFreeSlots(t *testing.T) {
	const text = `{"lanes":[{"name":"c","semantics":"safe"}],"reporting":{"how":"pull","fields":["x0"]}%s}`
	for more, want := range map[string]int{"": 1, `,"family_info":{"report_x0":"free slots"}`: 0, `,"family_info":{"report_x0":"free memory"}`: 1} {
		s, err := settings.Parse([]byte(strings.Replace(text, "%s", more, 1)))
		if err != nil {
			t.Fatal(err)
		}
		if got := Warnings(s); len(got) != want {
			t.Errorf("%s: got warnings %v", more, got)
		}
	}
}

// A maximum wait must be for an existing class, and shorter than its deadline.
func TestMaxWaitsFitClasses(t *testing.T) {
	classes := []settings.Class{{Name: "c", ClientTimeout: 4}, {Name: "d"}}
	for text, want := range map[string]string{
		"ageing {\n max_wait = \"3s\"\n classes = [\"c\"]\n}\nageing {\n max_wait = \"9s\"\n classes = [\"d\"]\n}": "",
		"ageing {\n max_wait = \"3s\"\n classes = [\"x\"]\n}":                                                      "there is no class",
		"ageing {\n max_wait = \"4s\"\n classes = [\"c\"]\n}":                                                      "not below the deadline",
	} {
		f, err := Parse("f.hcl", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		waits, err := f.MaxWaits(classes)
		if want == "" && (err != nil || waits["c"] != 3 || waits["d"] != 9) || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%s: got %v, %v", text, waits, err)
		}
	}
}

// The commented examples in the file in deploy are valid, also together. A rules block without an accord block
// causes a warning.
func TestExamples(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/bellstream.hcl")
	if err != nil {
		t.Fatal(err)
	}
	example := func(block string) string {
		_, text, ok := strings.Cut(string(raw), "\n# "+block+" {\n")
		text, _, end := strings.Cut(text, "\n# }\n")
		if !ok || !end {
			t.Fatalf("the file has no example of a %s block", block)
		}
		return block + " {\n" + strings.ReplaceAll("\n"+text, "\n#", "\n") + "\n}\n"
	}
	f, err := Parse("f.hcl", []byte(example("rules")))
	if err != nil || len(f.Config.Tenants) != 1 || f.Config.Placements[0].Cluster != "east" {
		t.Errorf("rules: got %+v, %v", f, err)
	}
	if w := f.Warnings(); len(w) != 1 || !strings.HasPrefix(w[0], "f.hcl:1: rules: has no effect without an accord block") {
		t.Errorf("rules without accord: got warnings %q", w)
	}
	f, err = Parse("f.hcl", []byte(example("rules")+example("accord")+example("clusters")))
	if err != nil || len(f.Warnings()) != 0 || len(f.Lease.Voters) != 3 {
		t.Errorf("all blocks: got %+v, %v, warnings %q", f.Lease, err, f.Warnings())
	}
	for field := range reflect.TypeFor[Lease]().Fields() { // each key has a commented line in the example
		key, _, _ := strings.Cut(field.Tag.Get("hcl"), ",")
		if !regexp.MustCompile(`(?m)^# +#? ?` + key + ` +=.*#`).MatchString(string(raw)) {
			t.Errorf("the example has no line with a comment for accord.%s", key)
		}
	}
}
