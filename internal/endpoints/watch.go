package endpoints

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"time"
)

// Time-outs of a watch. A change must take effect within 6 s of when discovery has it and is reachable. A
// change that a broken watch misses has to arrive in this time too: the silence is detected, the next call is
// delayed (by at most 0.15 s, balance.PollDelay), and discovery may let a caller wait for 3 s.
// docs/design/endpoint-lists.md adds up these times.
const (
	dialTimeout      = 1250 * time.Millisecond // a reachable machine accepts immediately, or at TCP's retry after 1 s
	firstListTimeout = 3000 * time.Millisecond // from the start of the dial; a shorter one would repeat slow calls
	readGrace        = 100 * time.Millisecond  // to read data that arrived while this process was suspended

	maxHead   = 32 << 10 // bytes
	maxUpdate = 4 << 20  // bytes
)

// watchIdleTimeout is the maximum time for which a watch may be silent, and for which one update may take.
// Discovery writes an empty line every 2 s while nothing changes. Tests shorten it.
var watchIdleTimeout = 2600 * time.Millisecond

var (
	errWatchEnded    = errors.New("discovery ended the watch")
	errUpdateTooLong = errors.New("list: too long")
)

// DialFunc makes a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Watch requests all changes after seq from discovery, at its HOST:PORT, and calls each with every update, in
// order, until the watch or ctx ends. The returned error is the reason and never nil. A silent watch is ended
// too, since its link may be broken.
func Watch(ctx context.Context, discovery string, seq int64, each func(*Update)) error {
	dialer := &net.Dialer{KeepAlive: -1}
	return WatchOver(ctx, dialer.DialContext, discovery, seq, each)
}

// WatchOver is like Watch, but makes the connection with dial.
func WatchOver(ctx context.Context, dial DialFunc, discovery string, seq int64, each func(*Update)) error {
	start := time.Now()
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	socket, err := dial(dialCtx, "tcp", discovery)
	if err != nil {
		return err
	}
	conn := &watchConn{Conn: socket}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(start.Add(firstListTimeout))
	resp, err := subscribe(conn, discovery, seq) //nolint:bodyclose // closed with the connection
	if err != nil {
		return err
	}
	return readUpdates(&bodyReader{body: resp.Body, conn: conn}, each)
}

// subscribe sends the request and reads the head of the response.
func subscribe(conn *watchConn, discovery string, seq int64) (*http.Response, error) {
	_, err := fmt.Fprintf(conn, "GET /v1/servers?stream=1&index=%d HTTP/1.1\r\nHost: %s\r\n\r\n", seq, discovery)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequest(http.MethodGet, "http://discovery/", nil)
	if err != nil {
		return nil, err
	}
	limit := &io.LimitedReader{R: conn, N: maxHead} // an endless head must not exhaust memory
	resp, err := http.ReadResponse(bufio.NewReader(limit), request)
	if err != nil {
		return nil, err
	}
	limit.N = math.MaxInt64
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("discovery answered %s", resp.Status)
	}
	return resp, nil
}

// readUpdates calls each with every update in a watch's body, and returns why the watch ended.
func readUpdates(body *bodyReader, each func(*Update)) error {
	decoder := json.NewDecoder(body)
	for {
		var raw json.RawMessage
		err := decoder.Decode(&raw)
		if errors.Is(err, io.EOF) {
			return errWatchEnded
		}
		if err != nil {
			return err
		}
		rest, _ := io.ReadAll(decoder.Buffered()) // reading from a buffer does not fail
		body.pendingBytes = len(bytes.TrimSpace(rest))
		body.complete = true
		update, err := Parse(raw)
		if err != nil {
			return err
		}
		each(update)
		body.conn.extendDeadline(watchIdleTimeout)
	}
}
