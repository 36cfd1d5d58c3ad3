package endpoints

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/lab/wiretest"
)

const (
	completeList = `{"seq":41,"whole":true,"novel":1,"hosts":[{"host":"a","dial":"1:1","site":"z","class":"k","block":3,"health":"active","born_ms":1500},{"host":"b","dial":"1:2","health":"active"}]}`
	changeList   = `{"seq":42,"whole":false,"hosts":[{"host":"a","dial":"1:9","health":"leaving"},{"host":"b","dial":"1:2","health":"left"}]}`
)

func TestTable(t *testing.T) {
	table := NewTable()
	u, err := Parse([]byte(completeList))
	if err != nil {
		t.Fatal(err)
	}
	if w := u.Endpoints[0].WorkerInfo; w != (balance.WorkerInfo{ID: "a", Zone: "z", Kind: "k", Cell: 3, State: balance.Running, StartedAt: 1.5}) {
		t.Errorf("got %+v", w)
	}
	if r := u.EndpointUpdate(); r.Kind != balance.EndpointsSnapshot || len(r.Workers) != 2 {
		t.Errorf("got %+v", r)
	}
	if closed := table.Apply(u, 0); len(closed) != 0 || table.Len() != 2 || table.Seq != 41 {
		t.Errorf("closed %v, %d listed, seq %d", closed, table.Len(), table.Seq)
	}
	u, _ = Parse([]byte(changeList))
	// Idle connections to workers that drain, are removed or have another address are closed.
	if closed := strings.Join(table.Apply(u, 1), " "); closed != "1:1 1:2" || table.Len() != 1 {
		t.Errorf("closed %s, %d listed", closed, table.Len())
	}
	if dial, ok := table.Address("a"); dial != "1:9" || !ok {
		t.Errorf("got address %q for a, want 1:9", dial)
	}
	// A complete list that is empty removes all workers. Their records are deleted after the retention.
	empty := &Update{Seq: 43, Complete: true}
	if closed := table.Apply(empty, 2); len(closed) != 1 || table.Len() != 0 {
		t.Errorf("closed %v, %d listed", closed, table.Len())
	}
	if table.Apply(empty, 3+removedRetentionSeconds); len(table.records) != 0 {
		t.Errorf("got %d records after the retention, want 0", len(table.records))
	}
}

// An older list, as received after a change to another discovery, does not reopen workers that a newer list has
// closed. A newer list does, and so do a restart of the worker and an older list after the retention.
func TestStaleListReopensNothing(t *testing.T) {
	entry := func(health string, born int) string {
		return fmt.Sprintf(`{"host":"a","dial":"1:1","site":"z","class":"k","health":%q,"born_ms":%d},`, health, born)
	}
	for name, c := range map[string]struct {
		first  string // entry in version 43; version 41 lists it as active and started at 1000 ms
		whole  bool
		seq    int64
		second string
		after  float64
		want   balance.WorkerState
	}{
		"leaving, older":            {entry("leaving", 1000), false, 41, entry("active", 1000), 9, balance.Draining},
		"leaving, older, changes":   {entry("leaving", 1000), false, 42, entry("active", 1000), 9, balance.Draining},
		"leaving, older yet":        {entry("leaving", 1000), false, 41, entry("active", 500), 9, balance.Draining},
		"leaving, newer":            {entry("leaving", 1000), false, 44, entry("active", 1000), 9, balance.Running},
		"leaving, same":             {entry("leaving", 1000), false, 43, entry("leaving", 1000), 9, balance.Draining},
		"leaving, another start":    {entry("leaving", 1000), false, 1, entry("active", 2000), 9, balance.Running},
		"leaving, much later":       {entry("leaving", 1000), false, 1, entry("active", 1000), removedRetentionSeconds + 9, balance.Running},
		"leaving, then left, older": {entry("leaving", 1000), false, 1, entry("left", 1000), 9, balance.Removed},
		"left, older":               {entry("left", 1000), false, 41, entry("active", 1000), 9, balance.Removed},
		"left, older and leaving":   {entry("left", 1000), false, 41, entry("leaving", 1000), 9, balance.Removed},
		"left, newer":               {entry("left", 1000), false, 44, entry("active", 1000), 9, balance.Running},
		"left out, older":           {"", true, 41, entry("active", 1000), 9, balance.Removed},
		"left out, another start":   {"", true, 41, entry("active", 2000), 9, balance.Running},
		"active, older":             {entry("active", 2000), false, 41, entry("leaving", 1000), 9, balance.Draining},
	} {
		table := NewTable()
		apply := func(seq int64, whole bool, entries string, now float64) *Update {
			entries += `{"host":"other","dial":"1:2","health":"active"}`
			u, err := Parse([]byte(fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, whole, entries)))
			if err != nil {
				t.Fatal(err)
			}
			table.Apply(u, now)
			return u
		}
		apply(41, true, entry("active", 1000), 100)
		apply(43, c.whole, c.first, 101)
		for range 2 { // the same list may be received again
			u := apply(c.seq, true, c.second, 101+c.after)
			if got := u.EndpointUpdate().Workers[0].State; got != c.want || table.records["a"].removed != (c.want == balance.Removed) {
				t.Errorf("%s: got state %s, want %s", name, got, c.want)
			}
			if table.Len() == 0 || table.Seq != c.seq {
				t.Errorf("%s: got %d listed workers, version %d", name, table.Len(), table.Seq)
			}
		}
	}
}

// FuzzParse checks that no line from discovery makes the program panic, and that every accepted entry has a state and
// an address.
func FuzzParse(f *testing.F) {
	for _, s := range []string{completeList, changeList, `{"seq":1}`, `{"seq":1,"hosts":{}}`, `{"seq":1,"hosts":[{}]}`, `[]`, `{`,
		`{"seq":"x","hosts":[{"host":"a","dial":"1","health":"novel","born_ms":"x"}]}`} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		u, err := Parse([]byte(s))
		if err != nil {
			return
		}
		table := NewTable()
		table.Apply(u, 0)
		for _, e := range u.Endpoints {
			if dial, ok := table.Address(e.ID); e.State == "" || ok && dial == "" {
				t.Errorf("list %q: got entry %+v with address %q", s, e, dial)
			}
		}
	})
}

// watch runs a watch whose response is sent in two parts, divided at cut. It returns the versions of the updates and
// the watch's error.
func watch(t *testing.T, raw string, cut int, hangUp bool) (seqs []int64, err error) {
	t.Helper()
	d := wiretest.NewTarget(t)
	end := make(chan error, 1)
	go func() {
		end <- Watch(context.Background(), d.Addr, 40, func(u *Update) { seqs = append(seqs, u.Seq) })
	}()
	call := wiretest.Get(t, d.Calls, "a watch")
	if call.Req.RequestURI != "/v1/servers?stream=1&index=40" {
		t.Errorf("got request for %s", call.Req.RequestURI)
	}
	call.WriteRaw(raw[:cut])
	call.WriteRaw(raw[cut:])
	if hangUp {
		call.Close()
	}
	err = wiretest.Get(t, end, "the watch's end")
	return seqs, err
}

// indented returns a list with indentation and line breaks.
func indented(list string) string {
	var b bytes.Buffer
	json.Indent(&b, []byte(list), "", "  ")
	return b.String()
}

func TestWatch(t *testing.T) {
	for _, c := range []struct {
		name, raw string
		hangUp    bool
		updates   int
		want      string
	}{
		{"updates", wiretest.Lines(true, completeList, "", changeList), false, 2, "ended the watch"},
		{"connection closed", wiretest.Lines(false, completeList), true, 1, "unexpected EOF"},
		{"malformed", wiretest.Lines(false, completeList, "{nonsense"), false, 1, "invalid character"},
		{"indented", wiretest.Lines(true, strings.Split(indented(completeList), "\n")...), false, 1, "ended the watch"},
		{"indented, a line for the whole", wiretest.Lines(true, indented(completeList), "", "", indented(changeList), changeList), false, 3, "ended the watch"},
		{"no list", wiretest.Lines(false, completeList, `[1]`), false, 1, "of a wrong type"},
		{"update too long", wiretest.Lines(false, completeList, `{"seq":1,"hosts":[`+strings.Repeat("1,", maxUpdate/2)), false, 1, "too long"},
		{"closed in an update", wiretest.Lines(true, completeList, changeList[:9]), false, 1, "unexpected EOF"},
		{"refused", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", false, 0, "503"},
		{"not HTTP", "nonsense\r\n\r\n", false, 0, "malformed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			seqs, err := watch(t, c.raw, len(c.raw), c.hangUp)
			if err == nil || !strings.Contains(err.Error(), c.want) || len(seqs) != c.updates {
				t.Errorf("got %v and updates %v, want %q and %d", err, seqs, c.want, c.updates)
			}
		})
	}
}

// A watch of an unreachable machine receives nothing and would never end without the time-out.
func TestSilentWatchEnds(t *testing.T) {
	defer func(old time.Duration) { watchIdleTimeout = old }(watchIdleTimeout)
	watchIdleTimeout = 10 * time.Millisecond
	d := wiretest.NewTarget(t)
	end := make(chan error, 1)
	go func() { end <- Watch(context.Background(), d.Addr, 0, func(*Update) {}) }()
	wiretest.Get(t, d.Calls, "a watch").WriteRaw(wiretest.Lines(false, completeList))
	if err := wiretest.Get(t, end, "the watch's end"); err == nil || !strings.Contains(err.Error(), "timeout") {
		t.Errorf("got error %v, want a time-out", err)
	}
}

// A response may be divided between two reads at any byte.
func TestWatchCutAnywhere(t *testing.T) {
	raw := wiretest.Lines(true, completeList, "", indented(changeList))
	for cut := 1; cut < len(raw); cut++ {
		if seqs, err := watch(t, raw, cut, false); len(seqs) != 2 {
			t.Fatalf("divided at %d: got updates %v, %v", cut, seqs, err)
		}
	}
}

// A process that was suspended past its read deadline still reads the data that arrived meanwhile. If none arrived, the
// read ends with the deadline's error.
func TestSuspendedReaderReadsOnceMore(t *testing.T) {
	d := wiretest.NewTarget(t)
	c, err := net.Dial("tcp", d.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: d\r\n\r\n")
	wiretest.Get(t, d.Calls, "a call").WriteRaw("\n")
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Read(func(fd uintptr) bool { // waits until the byte has arrived, without reading it
		n, _, _ := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK)
		return n == 1
	})
	l, p := &watchConn{Conn: c}, make([]byte, 9)
	l.extendDeadline(-time.Second)
	if n, err := l.Read(p); n != 1 || err != nil {
		t.Errorf("got %d bytes, %v, want the byte that arrived before the read", n, err)
	}
	l.extendDeadline(-time.Second)
	for range 2 {
		if n, err := l.Read(p); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("got %d bytes, %v, want os.ErrDeadlineExceeded", n, err)
		}
	}
	if !l.graceUsed {
		t.Error("the grace after the deadline is not marked as used")
	}
}

// On a TCP connection too, a watch ends if an update never ends, although bytes keep arriving.
func TestEndlessUpdateOnSockets(t *testing.T) {
	defer func(old time.Duration) { watchIdleTimeout = old }(watchIdleTimeout)
	watchIdleTimeout = 100 * time.Millisecond
	for _, part := range []string{"\n", "x", " "} {
		d := wiretest.NewTarget(t)
		end := make(chan error, 1)
		go func() { end <- Watch(context.Background(), d.Addr, 0, func(*Update) {}) }()
		call := wiretest.Get(t, d.Calls, "a watch")
		call.WriteRaw(wiretest.Lines(false, completeList) + chunk(`{"seq":"`))
		go writeRepeatedly(call, time.Millisecond, chunk(part))
		if err := wiretest.Get(t, end, "the watch's end"); !errors.Is(err, os.ErrDeadlineExceeded) && !strings.Contains(err.Error(), "invalid") {
			t.Errorf("endless %q: got error %v", part, err)
		}
	}
}
