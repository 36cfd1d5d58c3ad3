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
	go func() {
		start := time.Now()
		news := p.probe(addr, fields, start, anyConn)
		if news.again { // one connection that breaks does not show a target that is lost
			news = p.probe(addr, fields, start, freshConn)
		}
		tell(news)
	}()
}

func (p *Pool) probe(addr string, fields []string, start time.Time, of use) News {
	c, err := p.get(context.Background(), addr, p.by(start), of)
	if err != nil {
		return unsent(err)
	}
	path := "/healthz"
	if len(fields) > 0 {
		path = "/load"
	}
	c.SetDeadline(start.Add(probeTime))
	_, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, addr)
	unwritten := err != nil
	var resp *http.Response
	if err == nil {
		resp, err = c.response(http.MethodGet)
	}
	slow := time.Since(start) >= probeTime
	if c.age > 0 && !slow {
		p.reused(c, err != nil)
	}
	if err != nil {
		p.close(c)
		end := broken(err)
		end.again = !slow && (unwritten || c.age > 0)
		switch {
		case slow:
			end.Outcome = balance.TimedOut
		case unwritten:
			end.Outcome = balance.Unreachable
		}
		return end
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxLine))
	if err != nil || len(body) == maxLine || resp.Close || c.r.Buffered() > 0 {
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
