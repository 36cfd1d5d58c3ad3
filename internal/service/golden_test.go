package service

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"example.org/bellstream/internal/cluster/gossip"
	"example.org/bellstream/internal/cluster/lease/agent"
	"example.org/bellstream/internal/cluster/migration/coordinator"
	"example.org/bellstream/internal/control"
	"example.org/bellstream/internal/deferred"
	"example.org/bellstream/internal/dispatcher"
	"example.org/bellstream/internal/downstream"
	"example.org/bellstream/internal/endpoints"
	"example.org/bellstream/internal/lab/wiretest"
	"example.org/bellstream/internal/operatorconfig"
	"example.org/bellstream/internal/settings"
	"example.org/bellstream/internal/upstream"
)

var update = flag.Bool("update", false, "overwrite the golden files with the current output")

const goldenConfig = `{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1",
 "known":{"seq":1,"whole":true,"hosts":[{"host":"w","dial":"127.0.0.1:1","health":"active"}]},
 "settings":{"balancers":1,"lanes":[{"name":"c","hard_limit":60,"semantics":"safe"}],"parties":[{"name":"t","quota_per_s":10}],
  "membership_mode":"on_request","round":0.004,"caps":{"max_attempts":2}}}`

// startGolden starts a service with all subsystems. None of them can connect to another instance. It returns the base
// URL of the admin listener.
func startGolden(t *testing.T) (base string, p *subsystems) {
	t.Helper()
	conf, err := settings.ParseInstance([]byte(goldenConfig))
	if err != nil {
		t.Fatal(err)
	}
	op, err := operatorconfig.Parse("golden.hcl", fmt.Appendf(nil, `
admin {
  listen = "127.0.0.1:0"
}
peers {
  cluster = "golden"
  listen  = "127.0.0.1:0"
}
counts {
  instances = 1
}
waiting {
}
accord {
  cluster = "golden"
  listen  = "127.0.0.1:0"
  folder  = %q
  voters  = { n1 = "127.0.0.1:1", n2 = "127.0.0.1:2", n3 = "127.0.0.1:3" }
}
shards {
  count     = 4
  listen    = "127.0.0.1:0"
  instances = { n1 = "127.0.0.1:4", n2 = "127.0.0.1:5" }
}
clusters {
  self = "east"
  peer "west" {
    cluster = "west"
    voters  = { w1 = "127.0.0.1:6" }
  }
}
`, t.TempDir()))
	if err != nil {
		t.Fatal(err)
	}
	logf := func(string, ...any) {}
	pool := &upstream.Pool{MaxConns: 4, DialTimeout: time.Second, IdleTimeout: time.Second, Now: time.Now}
	o := dispatcher.Options{Settings: conf.Settings, CachedEndpoints: conf.CachedEndpoints, Upstream: pool, Phases: &dispatcher.Phases{},
		Log: logf, Now: time.Now, Discovery: conf.Discovery, Watch: endpoints.Watch}
	parts, err := build(op, conf, zerolog.Nop(), &o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(parts.close)
	d, err := dispatcher.New(o)
	if err != nil {
		t.Fatal(err)
	}
	parts.bind(d)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := downstream.NewServer(classes(conf.Settings), d, o.Phases, 8, logf)
	go server.Serve(l)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.Run(server)
	}()
	t.Cleanup(func() {
		d.Stop()
		<-ended
	})
	return "http://" + parts.running[0].(adminSubsystem).Addr(), parts
}

func get(t *testing.T, url string) (status int, body []byte) {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if body, err = io.ReadAll(resp.Body); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, body
}

// checkGolden compares the output with a golden file, and returns the file's content. With -update it writes the file
// first.
func checkGolden(t *testing.T, name string, got []byte) (want []byte) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s, want\n%s", name, got, want)
	}
	return want
}

// Guards against a change of a metric's name, labels or type, which would break dashboards and alerts.
func TestGoldenMetrics(t *testing.T) {
	_, p := startGolden(t)
	registry := p.running[0].(adminSubsystem).Registry
	types := map[string]string{ // of labelled metrics that may have no sample yet
		"bellstream_peers_dropped_total":  "COUNTER",
		"bellstream_accord_dropped_total": "COUNTER",
		"bellstream_shards_events_total":  "COUNTER",
	}
	gather := func(g prometheus.Gatherer) {
		families, err := g.Gather()
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range families {
			if old := types[f.GetName()]; old != "" && old != f.GetType().String() {
				t.Errorf("%s has type %s and type %s", f.GetName(), old, f.GetType())
			}
			types[f.GetName()] = f.GetType().String()
		}
	}
	wiretest.Until(t, "tenants to have shares of their reservations", func() bool {
		gather(registry)
		return types["bellstream_peers_slice_ratio"] != ""
	})
	full := prometheus.NewRegistry() // with a waiting job, so that each metric has a sample
	full.MustRegister(newQueueCollector(func() (dispatcher.Stats, bool) {
		return dispatcher.Stats{Depths: []deferred.Depth{{}}, FirstAttempts: []deferred.FirstAttempts{{}}}, true
	}))
	gather(full)
	descriptions := make(chan *prometheus.Desc, 1000)
	registry.Describe(descriptions)
	close(descriptions)
	pattern := regexp.MustCompile(`^Desc\{fqName: "(\w+)", help: ".*", constLabels: \{\}, variableLabels: \{(.*)\}\}$`)
	var lines []string
	for d := range descriptions {
		m := pattern.FindStringSubmatch(d.String())
		if m == nil {
			t.Fatalf("description has an unexpected form: %s", d)
		}
		lines = append(lines, fmt.Sprintf("%s %s {%s}\n", m[1], types[m[1]], m[2]))
	}
	slices.Sort(lines)
	checkGolden(t, "metrics.txt", []byte(strings.Join(lines, "")))
}

// filler sets every field of a value, so that none is empty and numbers and texts differ.
type filler struct{ n int }

func (f *filler) fill(v reflect.Value) {
	f.n++
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Struct:
		for _, field := range v.Fields() {
			f.fill(field)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		f.fill(v.Index(0))
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key)
		f.fill(value)
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString(fmt.Sprintf("text %d", f.n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(f.n) + 0.5)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(f.n))
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.n % 256))
	default:
		panic(fmt.Sprintf("filler does not support type %s", v.Type()))
	}
}

// Guards against a change of the JSON keys, or of their order, at the paths of the admin listener.
func TestGoldenAdmin(t *testing.T) {
	base, p := startGolden(t)
	var shardsStatus any
	for _, s := range p.running {
		if x, ok := s.(*shardSubsystem); ok {
			shardsStatus = x.status()
		}
	}
	for _, c := range []struct {
		path    string
		example any
	}{
		{"/peers", gossip.Status{}},
		{"/counts", gossip.UsageReport{}},
		{"/accord", agent.Status{}},
		{"/clusters", coordinator.Status{}},
		{"/shards", shardsStatus},
		{"/waiting", dispatcher.Stats{}},
	} {
		name := c.path[1:]
		full := reflect.New(reflect.TypeOf(c.example))
		(&filler{}).fill(full.Elem())
		for file, v := range map[string]any{name + ".json": full.Interface(), name + "-empty.json": reflect.Zero(full.Type().Elem()).Interface()} {
			raw, err := json.MarshalIndent(v, "", "  ")
			if err != nil {
				t.Fatal(err)
			}
			want := checkGolden(t, file, append(raw, '\n'))
			back := reflect.New(full.Type().Elem())
			if err := json.Unmarshal(want, back.Interface()); err != nil {
				t.Errorf("%s: %v", file, err)
			}
			if again, err := json.MarshalIndent(back.Interface(), "", "  "); err != nil || string(again)+"\n" != string(want) {
				t.Errorf("%s: after decoding and encoding again got %s, error %v", file, again, err)
			}
		}
		status, body := get(t, base+c.path)
		var live, known map[string]any
		if err := json.Unmarshal(body, &live); err != nil || status != http.StatusOK {
			t.Fatalf("%s: got status %d, error %v, body %s", c.path, status, err, body)
		}
		raw, err := json.Marshal(full.Interface())
		if err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(raw, &known); err != nil {
			t.Fatal(err)
		}
		for key := range live {
			if _, ok := known[key]; !ok && name != "counts" { // the keys of /counts are tenants
				t.Errorf("%s: unexpected key %q", c.path, key)
			}
		}
	}
	http.DefaultClient.CloseIdleConnections()
}

// Guards against a change of the control address's answers in any phase, which operators' tools parse.
func TestGoldenControl(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	conf, d, run := newTestProcess(t)
	group := newProcessGroup(conf, d, run, run.logf)
	defer group.close()
	var got bytes.Buffer
	execute := func(lines ...string) {
		for _, line := range lines {
			call, err := control.Parse([]byte(line))
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&got, "%s, %s: %s", run.phases.Now(), line, control.Answer(call.Execute(group)))
		}
	}
	execute("STATUS")
	run.phases.Enter(dispatcher.Serving)
	execute("STATUS", "SUSPEND w", "SUSPEND v", "RESTORE v", "RESTORE v", "RESTORE w", "PAUSE", "STATUS", "RESUME", "RESUME", "STATUS")
	run.phases.Enter(dispatcher.Serving)
	run.phases.SetYielding(true)
	execute("STATUS")
	run.phases.SetYielding(false)
	for _, phase := range []dispatcher.Phase{dispatcher.Retiring, dispatcher.Draining, dispatcher.Closing, dispatcher.Stopped} {
		run.phases.Enter(phase)
		execute("STATUS", "PAUSE", "RESUME")
	}
	checkGolden(t, "control.txt", got.Bytes())
}
