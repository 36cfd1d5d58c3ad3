package downstream

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strings"
)

// maxHead is the maximum size of a request head in bytes. It is also the size of a connection's read buffer,
// so that the complete head can be checked before http.ReadRequest consumes it.
const maxHead = 8 << 10

// maxFields is the maximum number of header fields of a request: the parsed form of a field takes far more memory than
// its text.
const maxFields = 128

var errTooManyFields = &rejection{
	status: http.StatusRequestHeaderFieldsTooLarge,
	reason: "the request's head has too many fields",
}

var errHeadTooLong = &rejection{
	status: http.StatusRequestHeaderFieldsTooLarge,
	reason: "the request's head is too long",
}

// singletonFields are the header fields that must not be repeated: they define the request, and of two values
// the next server might use the other one.
var singletonFields = map[string]bool{
	"host":              true,
	"content-length":    true,
	"transfer-encoding": true,
	"expect":            true,
	"request-id":        true,
	"request-class":     true,
	"request-timeout":   true,
	"request-info":      true,
	"tenant":            true,
	"idempotency-key":   true,
	"client-retry":      true,
}

// readHead waits until a complete head is in the connection's buffer, and checks each line as it arrives.
// It rejects what http.ReadRequest silently accepts: Content-Length together with Transfer-Encoding, a
// repeated Content-Length, a space before the colon, a folded line, a line end without CR, and
// Transfer-Encoding in HTTP/1.0. Servers interpret these differently, which allows request smuggling.
func (c *conn) readHead() error {
	h := headParser{fields: map[string]bool{}}
	for at := 0; ; {
		all, _ := c.reader.Peek(c.reader.Buffered())
		for n := bytes.IndexByte(all[at:], '\n'); n >= 0; n = bytes.IndexByte(all[at:], '\n') {
			end, err := h.parseLine(all[at : at+n])
			if end || err != nil {
				return err
			}
			at += n + 1
		}
		if rest := bytes.TrimSuffix(all[at:], []byte("\r")); !noControlCharacters(rest) {
			return badRequest("control characters in the head") // not HTTP: a line end may never arrive
		}
		if _, err := c.reader.Peek(len(all) + 1); errors.Is(err, bufio.ErrBufferFull) {
			return errHeadTooLong
		} else if err != nil {
			return err
		}
	}
}

// headParser holds the state of a head that is checked line by line.
type headParser struct {
	started bool // the request line was read
	http10  bool
	lines   int             // field lines
	fields  map[string]bool // the singleton fields that were read
}

// parseLine checks the next line, without its LF, and reports whether it ends the head.
func (h *headParser) parseLine(line []byte) (end bool, err error) {
	line, hasCR := bytes.CutSuffix(line, []byte("\r"))
	switch {
	case !hasCR:
		return false, badRequest("a line ends without CR")
	case !noControlCharacters(line):
		return false, badRequest("control characters in the head")
	case !h.started:
		return false, h.parseRequestLine(line)
	case len(line) == 0:
		return h.checkEnd()
	}
	return false, h.parseField(string(line))
}

func (h *headParser) parseRequestLine(line []byte) error {
	h.started = true
	h.http10 = bytes.HasSuffix(line, []byte(" HTTP/1.0"))
	if !h.http10 && !bytes.HasSuffix(line, []byte(" HTTP/1.1")) {
		return badRequest("no request line of HTTP/1.1")
	}
	return nil
}

// checkEnd checks rules that concern several fields, once the head is complete.
func (h *headParser) checkEnd() (end bool, err error) {
	if h.fields["content-length"] && h.fields["transfer-encoding"] {
		return false, badRequest("Content-Length and Transfer-Encoding together")
	}
	if !h.http10 && !h.fields["host"] {
		return false, badRequest("Host is missing")
	}
	return true, nil
}

func (h *headParser) parseField(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || name == "" || strings.ContainsFunc(name, notTokenChar) {
		return badRequest("malformed field line")
	}
	if h.lines++; h.lines > maxFields {
		return errTooManyFields
	}
	name = strings.ToLower(name)
	value = strings.Trim(value, " \t")
	if h.fields[name] {
		return badRequest("%s is repeated", name)
	}
	if singletonFields[name] {
		h.fields[name] = true
	}
	switch name {
	case "content-length":
		if value == "" || strings.ContainsFunc(value, notDigit) {
			return badRequest("Content-Length is not a length")
		}
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") || h.http10 {
			return &rejection{status: http.StatusNotImplemented, reason: "Transfer-Encoding is not known here"}
		}
	}
	return nil
}

func notDigit(r rune) bool { return r < '0' || r > '9' }

// noControlCharacters reports whether b contains no control characters except tabs.
func noControlCharacters(b []byte) bool {
	return !bytes.ContainsFunc(b, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f })
}

// notTokenChar reports whether a character is not allowed in a field name.
func notTokenChar(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
	return !letter && !strings.ContainsRune("!#$%&'*+-.^_`|~", r)
}
