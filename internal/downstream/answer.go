package downstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
)

// Answer is the final answer to a client.
type Answer struct {
	Status     int
	Body       []byte
	RetryAfter float64 // seconds; 0 omits the Retry-After header
	Allow      string  // allowed methods, for status 405
}

// writeAnswer writes an answer with a single Write call. closing adds "Connection: close"; headOnly omits the
// body, as in an answer to HEAD.
func writeAnswer(w io.Writer, a Answer, closing, headOnly bool) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.Status, http.StatusText(a.Status))
	if a.RetryAfter > 0 {
		milliseconds := math.Ceil(a.RetryAfter * 1000)
		fmt.Fprintf(&b, "Retry-After: %s\r\n", strconv.FormatFloat(milliseconds/1000, 'f', -1, 64))
	}
	if a.Allow != "" {
		fmt.Fprintf(&b, "Allow: %s\r\n", a.Allow)
	}
	if closing {
		b.WriteString("Connection: close\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(a.Body))
	if !headOnly {
		b.Write(a.Body)
	}
	_, err := w.Write(b.Bytes())
	return err
}

// rejection is the error for a request that is answered without being passed to the handler.
type rejection struct {
	status     int
	reason     string
	retryAfter float64 // seconds; 0: not given
	allow      string
}

// Error implements error; the reason is also the body of the answer.
func (r *rejection) Error() string { return r.reason }

func badRequest(format string, args ...any) *rejection {
	return &rejection{status: http.StatusBadRequest, reason: fmt.Sprintf(format, args...)}
}

func methodNotAllowed(reason, allow string) *rejection {
	return &rejection{status: http.StatusMethodNotAllowed, reason: reason, allow: allow}
}

func bodyTooLarge() *rejection {
	return &rejection{status: http.StatusRequestEntityTooLarge, reason: "body over 64 KiB"}
}

// errNoRequestMemory rejects a request that does not fit into the memory for requests.
var errNoRequestMemory = &rejection{
	status:     http.StatusServiceUnavailable,
	reason:     "too many large requests",
	retryAfter: memoryWait.Seconds(),
}

// errClientDisconnected is returned when a client disconnects before its answer is sent.
var errClientDisconnected = errors.New("client disconnected")
