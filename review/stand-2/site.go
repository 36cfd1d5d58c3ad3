package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// site is a small deployment: a few dispatchers, zone workers, discovery and clients.
type site struct {
	root      string
	dir       string
	record    *record
	trouble   bool
	discovery *discovery
	fleet     *fleet
	clients   *clients

	mu          sync.Mutex // for dispatchers, which close reads at any time
	dispatchers []*dispatcher
}

// newSite makes the site's folder and record, without processes.
func newSite(root, folder string, trouble bool) (*site, error) {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "stand-2-")
	if err != nil {
		return nil, err
	}
	rec.add("trouble: %v", trouble)
	return &site{root: root, dir: dir, record: rec, trouble: trouble}, nil
}

// add adds a dispatcher's process, which close will end.
func (s *site) add(d *dispatcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatchers = append(s.dispatchers, d)
}

func (s *site) processes() []*dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.dispatchers)
}

// unexpectedEnd returns an error if a process has ended by itself: what was seen then says nothing about the rule.
func (s *site) unexpectedEnd() error {
	for _, d := range s.processes() {
		if err := d.alive(); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes.
func (s *site) close() {
	for _, d := range s.processes() {
		d.end()
	}
	_ = os.RemoveAll(s.dir)
	s.record.close()
}

// lane is a class in the settings.
type lane map[string]any

// settings returns the settings of dispatcher me of n, those of the small deployment of the simulator's page, with
// changes.
func settings(me, n int, lanes []lane, change map[string]any) map[string]any {
	kinds := make([]int, len(lanes))
	stretches := make([]float64, len(lanes))
	priorities := make([]int, len(lanes))
	for i := range kinds {
		kinds[i], stretches[i] = -1, 2
	}
	s := map[string]any{
		"azs": []string{"sentrum", "fana"}, "balancers": n, "me": me, "zone": "sentrum",
		"caps": map[string]any{"cancelling": true, "cpu_us_per_request": 0.0, "cpu_us_per_s": 15000,
			"dial_timeout": 0.25,
			"keepalive":    15.0, "max_attempts": 3, "max_retry_after": 2.0, "open_cap": 20000, "parallel_tries": false,
			"peers": false, "probes": true, "retry_after": true, "streams_per_conn": 1},
		"charges": map[string]any{"connection": 0.0, "cross_zone": 0.015, "handshake": 0.0, "late_fail": 0.034,
			"membership_mode": 0.0, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.01, "waste": 0.25},
		"clients": map[string]any{"marks_retry": true}, "counted_by": "request", "family": "jobs",
		"family_info": map[string]any{"class_kind": kinds, "class_priority": priorities, "class_stretch": stretches,
			"memory_unit": "a worker has one unit for each slot", "notes": "1 it has started, 2 share done",
			"progress": 1.0, "queue_order": "fifo", "report_x0": "free slots", "report_x1": "free memory",
			"tells_start": true},
		"goal":  map[string]any{"whole": 0.5, "worst_class": 0.35, "worst_tenant": 0.1, "worst_window": 0.05},
		"kinds": []string{"stor-5k"}, "lanes": lanes, "membership_mode": "on_request", "over_share_worth": 0.1,
		"parties": []map[string]any{{"name": "fjordmat", "quota_per_s": 14.0, "share": 0.33},
			{"name": "bryggekjokken", "quota_per_s": 13.0, "share": 0.31},
			{"name": "nordpizza", "quota_per_s": 8.0, "share": 0.18},
			{"name": "smaabiten", "quota_per_s": 8.0, "share": 0.18}},
		"reporting": map[string]any{"fields": []string{"avg_ms", "waiting", "x0", "x1"}, "how": "pull"},
		"round":     0.004,
		"rules": map[string]any{"ask_every": 10.0, "cold_from": 0.3, "drain_grace": 2.0, "fall": 3.0,
			"fall_multiple": 3.0, "grace_to_answer": 0.016, "warm_after": 8.6},
		"stages": []string{"soneserver"}, "tier": 0, "weight_source": "silent",
	}
	maps.Copy(s, change)
	return s
}

var tenants = []string{"fjordmat", "bryggekjokken", "nordpizza", "smaabiten"}

// usual are the classes of the small deployment.
func usual() []lane {
	return []lane{
		{"name": "sone-oppslag", "aim": 0.15, "hard_limit": 5.0, "semantics": "safe", "value": 5.0, "late_worth": 0.0,
			"streamed": false, "dedup_scope": "all", "repeat_window": 5.0},
		{"name": "kurer-tildeling", "aim": 0.6, "hard_limit": 25.0, "semantics": "unsafe", "value": 10.0,
			"late_worth": 0.0, "streamed": false, "dedup_scope": "all", "repeat_window": 5.0},
		{"name": "sone-endring", "aim": 0.3, "hard_limit": 8.0, "semantics": "keyed", "value": 8.0, "late_worth": 0.0,
			"streamed": false, "dedup_scope": "zone", "repeat_window": 12.0},
	}
}

// addDispatcher prepares the folder and the configuration of one of n dispatchers.
func (s *site) addDispatcher(n int) error {
	i := len(s.dispatchers)
	ports, err := freePorts(1)
	if err != nil {
		return err
	}
	d := &dispatcher{record: s.record, index: i, name: fmt.Sprintf("n%d", i), listen: ports[0],
		dir: filepath.Join(s.dir, fmt.Sprintf("n%d", i))}
	if err := os.MkdirAll(filepath.Join(d.dir, "tmp"), 0o700); err != nil {
		return err
	}
	d.env = []string{"RELAY_NAME=" + d.name, "RELAY_LISTEN=" + d.listen, "RELAY_DISCOVERY=" + s.discovery.addrs[i],
		"RELAY_CONFIG=" + filepath.Join(d.dir, "config.json"), "TMPDIR=" + filepath.Join(d.dir, "tmp")}
	s.add(d)
	return s.configure(d, n, usual(), nil, nil)
}

// configure writes a dispatcher's configuration; more are further keys beside the settings.
func (s *site) configure(d *dispatcher, n int, lanes []lane, change, more map[string]any) error {
	conf := map[string]any{"name": d.name, "listen": d.listen, "discovery": s.discovery.addrs[d.index],
		"seed":     fmt.Sprintf("%016x", 0x8c1f30d27a5be900+uint64(d.index)),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    map[string]any{"seq": 0, "whole": true, "hosts": []string{}},
		"settings": settings(d.index, n, lanes, change)}
	maps.Copy(conf, more)
	raw, err := json.MarshalIndent(conf, "", " ")
	if err != nil {
		return err
	}
	path := filepath.Join(d.dir, "config.json")
	if err := os.WriteFile(path+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// startAll starts all dispatchers and waits until they serve.
func (s *site) startAll() error {
	for _, d := range s.dispatchers {
		if err := d.start(s.root); err != nil {
			return err
		}
	}
	for _, d := range s.dispatchers {
		if err := d.ready(20 * time.Second); err != nil {
			return fmt.Errorf("%w; its log ends:\n%s", err, d.logOf(10))
		}
	}
	return nil
}

func (s *site) addrs() (list []string) {
	for _, d := range s.dispatchers {
		list = append(list, d.listen)
	}
	return list
}
