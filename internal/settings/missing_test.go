package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// wholeInstance is a file with all that the platform writes.
const wholeInstance = `{"name":"n","listen":"x:1","discovery":"y:1","control":"z:1","seed":"1f","known":{"seq":1,"hosts":[]},
"limits":{"cores":1,"memory_mb":64,"sockets":1024},"settings":{"azs":["fana","asane"],"balancers":2,
"caps":{"cancelling":true,"dial_timeout":0.25,"keepalive":15,"max_attempts":3,"max_retry_after":2,"probes":true,"retry_after":true},
"charges":{"probe":0.01,"waste":0.25},"clients":{"marks_retry":true},"counted_by":"request","family":"jobs",
"family_info":{"class_kind":[-1,-1,0],"class_priority":[0,1,0],"class_stretch":[2,2,1.75],"queue_order":"priority",
 "report_x0":"free slots","report_x1":"free memory","tells_start":true},
"goal":{"whole":0.5,"worst_class":0.35},"kinds":["big","small"],
"lanes":[{"aim":0.15,"dedup_scope":"all","hard_limit":5,"late_worth":0,"name":"a","repeat_window":5,"semantics":"safe","value":5},
 {"aim":0.6,"dedup_scope":"all","hard_limit":25,"late_worth":0,"name":"b","repeat_window":5,"semantics":"unsafe","value":10},
 {"aim":0.3,"dedup_scope":"zone","hard_limit":8,"late_worth":0,"name":"c","repeat_window":12,"semantics":"keyed","value":8}],
"me":0,"membership_mode":"on_request","parties":[{"name":"p","quota_per_s":14,"share":0.6},{"name":"q","quota_per_s":9,"share":0.4}],
"reporting":{"fields":["avg_ms","waiting","x0","x1"],"how":"pull"},"round":0.004,
"rules":{"ask_every":10,"cold_from":0.3,"drain_grace":2,"fall":3,"fall_multiple":3,"grace_to_answer":0.016,"warm_after":8.6},
"stages":["server"],"tier":0,"zone":"fana"}}`

// reloadText passes a file with a text to Reload of an instance.
func reloadText(t *testing.T, inForce *Instance, text []byte) error {
	t.Helper()
	path := filepath.Join(t.TempDir(), "c.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := inForce.Reload(path)
	return err
}

// withoutEach calls try with the root of a document for each value in it, while that value is missing: a key or an
// element is deleted, or null.
func withoutEach(value any, path string, replace func(any), try func(path string)) {
	switch value := value.(type) {
	case map[string]any:
		for key, child := range maps.Clone(value) {
			childPath := strings.TrimPrefix(path+"."+key, ".")
			if isStartKey(childPath) {
				continue
			}
			delete(value, key)
			try(childPath + " deleted")
			value[key] = nil
			try(childPath + " null")
			value[key] = child
			withoutEach(child, childPath, func(v any) { value[key] = v }, try)
		}
	case []any:
		for n, child := range value {
			childPath := fmt.Sprintf("%s[%d]", path, n)
			value[n] = nil
			try(childPath + " null")
			if _, isObject := child.(map[string]any); isObject {
				value[n] = map[string]any{}
				try(childPath + " {}")
			}
			value[n] = child
			withoutEach(child, childPath, func(v any) { value[n] = v }, try)
		}
		replace([]any{})
		try(path + " []")
		if _, isObject := value[0].(map[string]any); !isObject { // classes and tenants may be removed
			replace(value[1:])
			try(path + " without its first element")
		}
		replace(value)
	}
}

// A reload takes nothing from a file in which any value is missing, at any depth.
func TestReloadWithoutAnyValue(t *testing.T) {
	inForce, err := ParseInstance([]byte(wholeInstance))
	if err != nil {
		t.Fatal(err)
	}
	var root map[string]any
	if err := json.Unmarshal([]byte(wholeInstance), &root); err != nil {
		t.Fatal(err)
	}
	tried := 0
	withoutEach(root, "", nil, func(path string) {
		tried++
		text, _ := json.Marshal(root)
		err := reloadText(t, inForce, text)
		if err == nil {
			t.Errorf("%s: the file was accepted", path)
			return
		}
		if text := err.Error(); !strings.Contains(text, "c.json: ") || strings.Contains(text, "\n") {
			t.Errorf("%s: got error %q, want one line that names the file", path, text)
		}
	})
	if tried < 200 {
		t.Errorf("only %d files were tried", tried)
	}
	if text, _ := json.Marshal(root); reloadText(t, inForce, text) != nil {
		t.Error("the unchanged file was not accepted")
	}
}

// A reload rejects a value that does not exist or has a wrong type, and still takes each valid file.
func TestReloadOfChangedValues(t *testing.T) {
	inForce, err := ParseInstance([]byte(wholeInstance))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, err string }{
		{`"dedup_scope":"zone"`, `"dedup_scope":"planet"`, `settings.lanes[2].dedup_scope: unknown "planet"`},
		{`"dedup_scope":"all"`, `"dedup_scope":"planet"`, `settings.lanes[0].dedup_scope: unknown "planet"`},
		{`"dedup_scope":"zone"`, `"dedup_scope":""`, "settings.lanes[2].dedup_scope: missing"},
		{`"dedup_scope":"zone",`, "", "settings.lanes[2].dedup_scope: missing"},
		{`"quota_per_s":9,`, "", "settings.parties[].quota_per_s: missing"},
		{`"name":"q",`, `"name":"",`, "settings.parties[1].name: missing"},
		{`"name":"q",`, `"name":"p",`, "settings.parties[1].name: there are two"},
		{`"on_request"`, `"sometimes"`, "settings.membership_mode: unknown"},
		{`"pull"`, `"push"`, "settings.reporting.how: unknown"},
		{`[-1,-1,0]`, `[-1,-1]`, "settings.family_info.class_kind: missing values: 2 are given, 3 are needed"},
		{`[-1,-1,0]`, `[-1,-1,2]`, "settings.family_info.class_kind[2]: there is no kind 2"},
		{`[-1,-1,0]`, `[-1,-1,"0"]`, "family_info.class_kind[2]: value: unexpected String"},
		{`"x1"]`, `7]`, "reporting.fields[3]: value: unexpected Number"},
		{`"lanes":[`, `"lanes":[{"aim":1,"hard_limit":5,"late_worth":0,"name":"d","semantics":"safe","value":5},`, "class_kind: missing values: 3 are given, 4 are needed"},

		{`"dedup_scope":"zone"`, `"dedup_scope":"cell"`, ""},
		{`"dedup_scope":"zone","hard_limit":8,"late_worth":0,"name":"c","repeat_window":12,"semantics":"keyed"`, `"hard_limit":8,"late_worth":0,"name":"c","semantics":"unsafe"`, ""},
		{`"semantics":"unsafe"`, `"semantics":"keyed"`, ""},
		{`"name":"b"`, `"name":"d"`, ""},
		{`"max_attempts":3`, `"max_attempts":2`, ""},
		{`{"name":"q","quota_per_s":9,"share":0.4}`, `{"name":"r","quota_per_s":9,"share":0.4,"novel":[]}`, ""},
		{`,{"name":"q","quota_per_s":9,"share":0.4}`, ``, ""},
		{`"kinds":["big","small"]`, `"kinds":["big","small","third"],"novel":{"a":[1]}`, ""},
		{`{"aim":0.15,"dedup_scope":"all","hard_limit":5,"late_worth":0,"name":"a","repeat_window":5,"semantics":"safe","value":5},`, "", ""},
		{`"class_kind":[-1,-1,0],"class_priority":[0,1,0],"class_stretch":[2,2,1.75],`, `"class_kind":[-1,-1,0,-1],"class_priority":[0,1,0,0],"class_stretch":[2,2,1.75,2],`, ""},
	} {
		changed := strings.Replace(wholeInstance, c.old, c.new, 1)
		if changed == wholeInstance {
			t.Fatalf("%s is not in the file", c.old)
		}
		err := reloadText(t, inForce, []byte(changed))
		if c.err == "" && err != nil || c.err != "" && (err == nil || !strings.Contains(err.Error(), c.err)) {
			t.Errorf("%s -> %s: got %v, want %q", c.old, c.new, err, c.err)
		}
	}
}
