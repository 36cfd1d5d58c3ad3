package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const sampleInstance = `{"name":"n","listen":"x:1","discovery":"y:1","seed":"1f","known":{"seq":1},"limits":{"cores":1},"settings":` + sampleSettings + `}`

// Reload rejects an invalid file with an error on one line that names the key. Keys that are used only at start
// may be missing.
func TestReload(t *testing.T) {
	i, err := ParseInstance([]byte(sampleInstance))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "c.json")
	for _, c := range []struct{ old, new, err string }{
		{"", "", ""},
		{`"seed":"1f","known":{"seq":1},`, "", ""},
		{`"max_attempts":3`, `"max_attempts":1`, ""},
		{`,"dedup_scope":"zone","repeat_window":12`, `,"dedup_scope":"zone"`, "settings.lanes[1].repeat_window"},
		{`{"name":"a","aim":0.15,"hard_limit":5,"semantics":"safe","value":5},`, "", ""},
		{`"name":"a"`, `"name":"c"`, ""},
		{`"name":"a"`, `"name":"b"`, "settings.lanes[1].name: there are two"},
		{`"name":"a"`, `"title":"a"`, "settings.lanes[].name: missing"},
		{`"discovery":"y:1",`, "", "discovery: missing"},
		{`"limits":{"cores":1},`, "", "limits: missing"},
		{`"limits":{"cores":1},`, `"limits":{"cores":null},`, "limits.cores: missing"},
		{`"caps":{`, `"hats":{`, "settings.caps: missing"},
		{`"max_attempts":3`, `"attempts":3`, "settings.caps.max_attempts: missing"},
		{`"max_attempts":3`, `"max_attempts":0`, "settings.caps.max_attempts: not a positive"},
		{`"max_attempts":3`, `"max_attempts":-2`, "settings.caps.max_attempts: not a positive"},
		{`"max_attempts":3`, `"max_attempts":"3"`, "caps.max_attempts: unexpected String"},
		{`"max_attempts":3`, `"max_attempts":2.5`, "caps.max_attempts: 2.5 is not a whole"},
		{`"hard_limit":5,`, `"hard_limit":0,`, "settings.lanes[0].hard_limit: not a positive"},
		{`"hard_limit":8,`, `"hard_limit":-8,`, "settings.lanes[1].hard_limit: not a positive"},
		{`"hard_limit":8,`, `"hard_limit":"8",`, "lanes[1]: hard_limit: unexpected String"},
		{`"hard_limit":8,`, ``, "settings.lanes[].hard_limit: missing"},
		{`"semantics":"safe"`, `"semantics":"mostly"`, "settings.lanes[0].semantics: unknown"},
		{`"aim":0.15`, `"aim":-1`, "settings: Classes[0].LatencyObjective"},
		{`"lanes":[`, `"lanes":[],"was":[`, "settings.lanes[]."},
		{`"round":0.004`, `"round":4`, "settings.round"},
	} {
		next := strings.Replace(sampleInstance, c.old, c.new, 1)
		if c.old != "" && next == sampleInstance {
			t.Fatalf("%s is not in the sample file", c.old)
		}
		os.WriteFile(path, []byte(next), 0o600)
		_, err := i.Reload(path)
		if c.err == "" && err != nil || c.err != "" && (err == nil || !strings.Contains(err.Error(), c.err) || strings.Contains(err.Error(), "\n")) {
			t.Errorf("%s -> %s: got %v, want %q", c.old, c.new, err, c.err)
		}
	}
	// No truncated file is accepted.
	for n := range len(sampleInstance) {
		os.WriteFile(path, []byte(sampleInstance[:n]), 0o600)
		if _, err := i.Reload(path); err == nil {
			t.Fatalf("a file truncated to %d bytes was accepted", n)
		}
	}
}
