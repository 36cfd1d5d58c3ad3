package downstream

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Bounds of a request.
const (
	maxBody        = 64 << 10 // bytes, by the protocol
	maxID          = 128      // bytes
	maxTimeout     = 86400    // seconds
	maxNotBefore   = 1e11     // Unix time in seconds
	maxDelay       = 1e9      // seconds
	healthPath     = "/healthz"
	healthMethods  = "GET, HEAD"
	requestMethods = "POST"
)

// route returns the class named by the request's path. An empty name without an error means a health check.
func (s *Server) route(r *http.Request) (name string, class Class, err error) {
	if r.URL.Path == healthPath {
		return "", Class{}, checkHealthRequest(r)
	}
	name, _, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class, ok := (*s.classes.Load())[name]
	if !ok || !class.removedAt.IsZero() && time.Now().After(class.removedAt) {
		return "", class, &rejection{status: http.StatusNotFound, reason: "no such path"}
	}
	if r.Method != http.MethodPost {
		return "", class, methodNotAllowed("only POST here", requestMethods)
	}
	return name, class, nil
}

func checkHealthRequest(r *http.Request) error {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		return methodNotAllowed("only GET and HEAD here", healthMethods)
	}
	if r.ContentLength != 0 {
		return badRequest("no body here")
	}
	return nil
}

// parse reads a request of the given class into a job. It drops the request's header.
func (s *Server) parse(c *conn, r *http.Request, name string, class Class) (*Request, error) {
	job := &Request{
		ID:             r.Header.Get("Request-Id"),
		Class:          name,
		Tenant:         r.Header.Get("Tenant"),
		Method:         r.Method,
		URI:            r.RequestURI,
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Retry:          r.Header.Get("Client-Retry") == "1",
		Slots:          1,
		Timeout:        class.Deadline,

		ClassDefinition: class.Definition,
	}
	if err := job.checkIdentity(r.Header, class); err != nil {
		return nil, err
	}
	if err := job.parseTimeout(r.Header); err != nil {
		return nil, err
	}
	if err := job.parseSize(r.Header); err != nil {
		return nil, err
	}
	var notBefore float64
	if s.AcceptDependencies {
		var err error
		if notBefore, err = job.parseDependencies(r.Header); err != nil {
			return nil, err
		}
	}
	r.Header = nil // its memory is not needed while the body arrives and while the job waits
	var err error
	if job.Body, err = s.readBody(c, r, job.headBytes()); err != nil {
		return nil, err
	}
	job.Arrived = time.Now()
	if notBefore > 0 {
		job.Delay = delayUntil(notBefore, job.Arrived)
	}
	return job, nil
}

// checkIdentity checks the request ID, the class header and the idempotency key.
func (r *Request) checkIdentity(header http.Header, class Class) error {
	fromHeader := header.Get("Request-Class")
	switch {
	case !validID(r.ID):
		return badRequest("Request-Id is missing or too long")
	case fromHeader != "" && fromHeader != r.Class:
		return badRequest("Request-Class and path differ")
	case class.Keyed && r.IdempotencyKey == "":
		return badRequest("this class wants an Idempotency-Key")
	}
	return nil
}

func validID(id string) bool { return id != "" && len(id) <= maxID }

// parseTimeout reads how long the client waits. A header without a value is an error; without the header the
// class's deadline stays.
func (r *Request) parseTimeout(header http.Header) error {
	values := header["Request-Timeout"]
	if values == nil {
		return nil
	}
	seconds, err := strconv.ParseFloat(values[0], 64)
	if err != nil || !(seconds >= 0 && seconds <= maxTimeout) {
		return badRequest("Request-Timeout is not a time in seconds")
	}
	r.Timeout = time.Duration(seconds * float64(time.Second))
	return nil
}

// parseSize reads how many slots and how much memory the job needs. Other names are ignored.
func (r *Request) parseSize(header http.Header) error {
	for part := range strings.SplitSeq(header.Get("Request-Info"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		var field *float64
		switch name {
		case "slots", "cores_needed":
			field = &r.Slots
		case "memory":
			field = &r.Memory
		default:
			continue
		}
		figure, err := strconv.ParseFloat(value, 64)
		if err != nil || figure < 0 || math.IsInf(figure, 0) || math.IsNaN(figure) {
			return badRequest("Request-Info: %s is not a figure", name)
		}
		*field = figure
	}
	return nil
}

// parseDependencies reads the IDs of the jobs that must be served first, and returns the Unix time in seconds
// before which the job must not start, or 0 without such a time. An error names the header field.
func (r *Request) parseDependencies(header http.Header) (notBefore float64, err error) {
	for _, line := range header["Wait-For"] {
		for id := range strings.SplitSeq(line, ",") {
			id = strings.TrimSpace(id)
			if !validID(id) {
				return 0, badRequest("Wait-For: an id is missing or too long")
			}
			r.DependsOn = append(r.DependsOn, strings.Clone(id))
		}
	}
	values := header["Not-Before"]
	if values == nil {
		return 0, nil
	}
	notBefore, err = strconv.ParseFloat(values[0], 64)
	if err != nil || len(values) > 1 || !(notBefore >= 0 && notBefore < maxNotBefore) {
		return 0, badRequest("Not-Before: not a Unix time in seconds")
	}
	return notBefore, nil
}

// headBytes returns the memory of what is kept of the request's head.
func (r *Request) headBytes() int64 {
	bytes := len(r.ID) + len(r.Tenant) + len(r.URI) + len(r.IdempotencyKey)
	for _, id := range r.DependsOn {
		bytes += len(id)
	}
	return int64(bytes)
}

// delayUntil returns the time from now to a Unix time in seconds, between 0 and maxDelay seconds. It is
// computed once, when the request arrives, so that later steps of the system clock have no effect.
func delayUntil(unix float64, now time.Time) time.Duration {
	seconds := unix - float64(now.UnixNano())/1e9
	return time.Duration(min(max(seconds, 0), maxDelay) * float64(time.Second))
}
