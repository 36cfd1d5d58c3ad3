package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/tidwall/gjson"

	"example.org/bellstream/balance"
)

// Limits of an answer, in bytes and time.
const (
	maxHead       = 32 << 10               // including the heads of interim answers
	maxAnswer     = 4 << 20                // what follows the head
	maxLine       = 512 << 10              // enough for an escaped result of 64 KiB
	drainTimeout  = 250 * time.Millisecond // for the rest of the answer after its last line
	deadlineGrace = time.Second            // after the client's deadline, until the attempt ends by itself
)

// staleDetectionWindow is the time after sending a request within which the end of a reused connection means
// that the worker had closed it before the request. Tests change it.
var staleDetectionWindow = 100 * time.Millisecond

// errNoResult means that an answer has the state done but no result.
var errNoResult = errors.New("answer has state done but no result")

// States of a job, as named in the lines of a worker's answer.
const (
	stateStarted  = "started"
	stateDone     = "done"
	stateFailed   = "failed"
	stateReturned = "returned"
	stateLost     = "lost"
)

// roundTrip sends the request and reads the answer up to the line or status that gives the outcome. If clean is
// true, the connection may be reused once the rest of the answer was read.
func (a *attempt) roundTrip(c *conn) (end AttemptEvent, clean bool) {
	if end := a.checkSend(); end.Outcome != "" {
		return end, false
	}
	if end := a.send(c); end.Outcome != "" {
		return end, false
	}
	sent := time.Now()
	resp, err := c.response(a.request.Method) //nolint:bodyclose // conn.drain reads it, the pool closes the connection
	if err != nil {
		end := connectionLost(err)
		if time.Since(sent) < staleDetectionWindow && c.closedWithoutAnswer(err) {
			end.Outcome = balance.StaleConnection
			end.staleConn = true
		}
		return end, false
	}
	if resp.StatusCode != http.StatusOK {
		return a.readError(c, resp)
	}
	return a.readLines(resp)
}

// checkSend checks, right before the first byte is written, whether the attempt may be sent. If so, the Outcome
// is empty.
func (a *attempt) checkSend() AttemptEvent {
	if !time.Now().Before(a.request.SendBy) {
		return AttemptEvent{
			Outcome: balance.Blocked,
			Reason:  "blocked before the first byte: the deadline for sending has passed",
		}
	}
	if a.request.Blocked == nil {
		return AttemptEvent{}
	}
	outcome := a.request.Blocked()
	if outcome == "" {
		return AttemptEvent{}
	}
	return AttemptEvent{
		Outcome: outcome,
		Reason: "blocked before the first byte: its client has disconnected, its worker is cordoned or is not " +
			"the one that was listed, or another configuration is in force",
	}
}

// send writes the request. An empty Outcome means that all bytes were written, so that the job may have run.
// Until the last byte is written the job cannot have run.
func (a *attempt) send(c *conn) AttemptEvent {
	writeBy := a.dialBy.Add(deadlineGrace)
	if a.request.SendBy.Before(writeBy) {
		writeBy = a.request.SendBy
	}
	c.SetWriteDeadline(writeBy)
	message := a.request.encode(c.addr)
	n, err := c.Write(message)
	if n < len(message) {
		return AttemptEvent{
			Outcome:   balance.Unreachable,
			Reason:    fmt.Sprintf("wrote %d of %d bytes: %v", n, len(message), err),
			retryable: true,
		}
	}
	c.SetReadDeadline(a.request.Deadline.Add(deadlineGrace))
	return AttemptEvent{}
}

// readError interprets an answer whose status is not 200.
func (a *attempt) readError(c *conn, resp *http.Response) (end AttemptEvent, clean bool) {
	end = AttemptEvent{
		Outcome: balance.Failed,
		Report:  parseLoadReport([]byte(resp.Header.Get("Server-Load")), a.request.Fields),
		Reason:  resp.Status,
	}
	rejected := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout
	if rejected && resp.Header.Get("Not-Started") == "1" {
		if c.unsettled {
			return AttemptEvent{
				Outcome: balance.StaleConnection,
				Reason:  resp.Status + ", which may be a second answer to the previous request",
			}, false
		}
		end.Outcome = balance.Overloaded
	}
	return end, !resp.Close
}

// readLines reads the lines of an answer up to the one that ends the attempt.
func (a *attempt) readLines(resp *http.Response) (end AttemptEvent, clean bool) {
	started := false
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 1024), maxLine)
	for lines.Scan() {
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		if !gjson.ValidBytes(line) {
			return protocolError("malformed answer line"), false
		}
		fields := gjson.ParseBytes(line)
		id := fields.Get("id")
		if id.Exists() && id.String() != a.request.ID {
			return protocolError("answer line names another request"), false
		}
		state := fields.Get("state").String()
		if state == stateStarted {
			if !started { // repeated events would only fill the event loop's queue
				a.notify(AttemptEvent{})
			}
			started = true
			continue
		}
		end, ends, err := a.parseEnd(state, fields)
		switch {
		case err != nil:
			return connectionLost(err), false
		case !ends:
			continue // progress, or a state that a later version of the protocol may add
		case !id.Exists():
			return protocolError("last answer line names no request"), false
		}
		end.Reason = state
		return end, !resp.Close
	}
	return connectionLost(lines.Err()), false
}

// parseEnd interprets a line with the given state. ends is false if that state does not end the
// attempt. The error is errNoResult.
func (a *attempt) parseEnd(state string, fields gjson.Result) (end AttemptEvent, ends bool, err error) {
	end.Report = parseLoadReport([]byte(fields.Get("load").Raw), a.request.Fields)
	switch state {
	case stateDone:
		result := fields.Get("result")
		if !result.Exists() {
			return AttemptEvent{}, false, errNoResult
		}
		end.Outcome = balance.Served
		end.Result = []byte(result.String())
	case stateFailed:
		end.Outcome = balance.Failed
	case stateReturned:
		end.Outcome = balance.Overloaded
	case stateLost:
		end.Outcome = balance.ConnectionLost
	default:
		return AttemptEvent{}, false, nil
	}
	return end, true, nil
}

// parseLoadReport returns the values of a load report in the order of fields, or nil if one is missing or is not
// a number.
func parseLoadReport(raw []byte, fields []string) []float64 {
	if len(raw) == 0 || len(fields) == 0 || !gjson.ValidBytes(raw) {
		return nil
	}
	report := gjson.ParseBytes(raw)
	if !report.IsObject() {
		return nil
	}
	values := make([]float64, len(fields))
	for i, field := range fields {
		value := report.Get(field)
		if value.Type != gjson.Number {
			return nil
		}
		values[i] = value.Float()
	}
	return values
}
