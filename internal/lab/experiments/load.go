package experiments

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Stream is an open-loop stream of jobs: its arrival times do not depend on how fast the answers are.
type Stream struct {
	Tenant, Class     string
	Entry             int     // index of the dispatcher
	Slots             int     // slots per job; 0 means 1
	Rate              float64 // jobs per second
	EvenlySpaced      bool    // evenly spaced arrivals; false: Poisson
	HasIdempotencyKey bool    // jobs carry an Idempotency-Key
	ClientTimeout     time.Duration
}

// Answer is a request and its answer as the client saw them.
type Answer struct {
	At            time.Time // when the request was sent
	Took          time.Duration
	ID            string
	Tenant        string
	Class         string
	Entry         int
	ClientTimeout time.Duration
	Status        int  // HTTP status; 0: no complete answer
	DialFailed    bool // the connection could not be opened
	Body          string
	RetryAfter    time.Duration // value of Retry-After; 0: none
}

// Load runs streams against dispatchers and records the answers.
type Load struct {
	Addrs []string

	client   *http.Client
	mu       sync.Mutex
	answers  []Answer
	pending  sync.WaitGroup
	lastID   uint64
	idPrefix uint64
}

// NewLoad returns a load for the dispatchers at these addresses. The seed becomes part of the request ids.
func NewLoad(seed uint64, addrs []string) *Load {
	return &Load{Addrs: addrs, idPrefix: seed & 0xffffffff, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 512, MaxConnsPerHost: 512, DisableCompression: true}}}
}

// Play starts the streams and returns. They run until ctx ends.
func (l *Load) Play(ctx context.Context, seed uint64, streams []Stream) {
	for i, s := range streams {
		l.pending.Add(1)
		go func() {
			defer l.pending.Done()
			l.playStream(ctx, rand.New(rand.NewPCG(seed, uint64(i))), s)
		}()
	}
}

// playStream sends the requests of a stream until ctx ends.
func (l *Load) playStream(ctx context.Context, rng *rand.Rand, s Stream) {
	next := time.Now().Add(time.Duration(rng.Float64() / s.Rate * float64(time.Second)))
	for {
		t := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		gap := 1 / s.Rate
		if !s.EvenlySpaced {
			gap *= rng.ExpFloat64()
		}
		next = next.Add(time.Duration(gap * float64(time.Second)))
		l.pending.Add(1)
		go l.sendRequest(s)
	}
}

// sendRequest sends one request and records its answer.
func (l *Load) sendRequest(s Stream) {
	defer l.pending.Done()
	l.mu.Lock()
	l.lastID++
	id := fmt.Sprintf("%08x%08x", l.idPrefix, l.lastID)
	addr := l.Addrs[s.Entry]
	l.mu.Unlock()
	// The margin lets the client receive an answer that the dispatcher sends exactly at the time-out.
	ctx, cancel := context.WithTimeout(context.Background(), s.ClientTimeout+250*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/"+s.Class,
		strings.NewReader(fmt.Sprintf("%s %d slots=%d", s.Tenant, s.Entry, max(s.Slots, 1))))
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Class", s.Class)
	req.Header.Set("Tenant", s.Tenant)
	req.Header.Set("Request-Timeout", fmt.Sprintf("%.3f", s.ClientTimeout.Seconds()))
	if s.HasIdempotencyKey {
		req.Header.Set("Idempotency-Key", id+id)
	}
	if s.Slots > 1 {
		req.Header.Set("Request-Info", fmt.Sprintf("slots=%d", s.Slots))
	}
	a := Answer{At: time.Now(), ID: id, Tenant: s.Tenant, Class: s.Class, Entry: s.Entry, ClientTimeout: s.ClientTimeout}
	resp, err := l.client.Do(req)
	var op *net.OpError
	a.DialFailed = errors.As(err, &op) && op.Op == "dial"
	if err == nil {
		a.Status = resp.StatusCode
		body, err := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
		resp.Body.Close()
		if a.Body = string(body); err != nil {
			a.Status = 0
		}
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			a.RetryAfter = time.Duration(s * float64(time.Second))
		}
	}
	a.Took = time.Since(a.At)
	l.mu.Lock()
	l.answers = append(l.answers, a)
	l.mu.Unlock()
}

// Wait blocks until the streams have ended and each request is answered or timed out.
func (l *Load) Wait() { l.pending.Wait() }

// Answers returns a copy of the answers recorded so far.
func (l *Load) Answers() []Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Answer(nil), l.answers...)
}

// AnswersBetween returns the answers to requests that were sent in [from, to) to any of these dispatchers.
func AnswersBetween(list []Answer, from, to time.Time, entries ...int) (some []Answer) {
	for _, a := range list {
		if !a.At.Before(from) && a.At.Before(to) && slices.Contains(entries, a.Entry) {
			some = append(some, a)
		}
	}
	return some
}

// ServedFraction returns the fraction of answers with status 200, 0 for an empty list.
func ServedFraction(list []Answer) float64 {
	n := 0
	for _, a := range list {
		if a.Status == http.StatusOK {
			n++
		}
	}
	return float64(n) / float64(max(len(list), 1))
}

// Close closes idle connections.
func (l *Load) Close() { l.client.CloseIdleConnections() }
