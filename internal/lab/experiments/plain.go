package experiments

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// roundRobinDispatcher is the baseline of comparisons: it sends each job once, to the next worker of the list,
// and keeps no state about workers. It shares no code with bellstream.
type roundRobinDispatcher struct {
	server  *http.Server
	client  *http.Client
	addr    string
	workers []string
	next    atomic.Uint64
}

// newRoundRobinDispatcher starts a dispatcher for the workers of a fleet on a free port.
func newRoundRobinDispatcher(f *Fleet) (*roundRobinDispatcher, error) {
	p := &roundRobinDispatcher{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}}
	for _, w := range f.workers {
		p.workers = append(p.workers, w.addr)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.addr, p.server = l.Addr().String(), &http.Server{Handler: p}
	go p.server.Serve(l)
	return p, nil
}

func (p *roundRobinDispatcher) close() {
	p.server.Close()
	p.client.CloseIdleConnections()
}

func (p *roundRobinDispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	timeout, err := strconv.ParseFloat(r.Header.Get("Request-Timeout"), 64)
	if err != nil {
		timeout = 3
	}
	client := *p.client
	client.Timeout = time.Duration(timeout * float64(time.Second))
	to := p.workers[p.next.Add(1)%uint64(len(p.workers))]
	req, _ := http.NewRequestWithContext(r.Context(), r.Method, "http://"+to+r.URL.RequestURI(), bytes.NewReader(body))
	for _, name := range []string{"Request-Id", "Idempotency-Key", "Request-Timeout"} {
		if v := r.Header.Get(name); v != "" {
			req.Header.Set(name, v)
		}
	}
	resp, err := client.Do(req)
	if err != nil {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		w.WriteHeader(resp.StatusCode)
		return
	}
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		var line struct{ State, Result string }
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.State == "done" {
			io.WriteString(w, line.Result)
			return
		}
	}
	w.WriteHeader(http.StatusBadGateway)
}
