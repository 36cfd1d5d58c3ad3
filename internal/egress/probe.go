package egress

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"example.org/bellstream/balance"
)

// probeTime is how long an answer to a probe is waited for.
const probeTime = 500 * time.Millisecond

// Probe asks an egress target for its load, or for its health where the
// deployment has no reports, and tells the outcome once.
func (p *Pool) Probe(addr string, fields []string, tell func(News)) {
	go func() { tell(p.probe(addr, fields)) }()
}

func (p *Pool) probe(addr string, fields []string) News {
	start := time.Now()
	c, err := p.get(context.Background(), addr, start.Add(p.Dial))
	if err != nil {
		return unsent(err)
	}
	path := "/healthz"
	if len(fields) > 0 {
		path = "/load"
	}
	c.SetDeadline(start.Add(probeTime))
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, addr); err != nil {
		p.close(c)
		return News{Outcome: balance.Unreachable, Why: err.Error()}
	}
	resp, err := c.response(http.MethodGet)
	if err != nil {
		p.close(c)
		if time.Since(start) >= probeTime {
			return News{Outcome: balance.TimedOut, Why: err.Error()}
		}
		return broken(err)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxLine))
	if err != nil || resp.Close || c.r.Buffered() > 0 {
		p.close(c)
	} else {
		p.put(c)
	}
	switch {
	case err != nil:
		return broken(err)
	case resp.StatusCode == http.StatusOK:
		return News{Outcome: balance.Served, Report: report(body, fields)}
	case resp.StatusCode == http.StatusServiceUnavailable:
		return News{Outcome: balance.Full, Why: resp.Status}
	}
	return News{Outcome: balance.Errored, Why: resp.Status}
}
