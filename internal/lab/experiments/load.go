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

// Stream is an open-loop flow of jobs: they come at their own pace, however
// slow the answers are.
type Stream struct {
	Tenant, Class     string
	Entry             int     // index of the dispatcher
	Slots             int     // of each job; 0 means 1
	Rate              float64 // a second
	EvenlySpaced      bool    // evenly spaced; false: Poisson
	HasIdempotencyKey bool    // jobs carry an Idempotency-Key
	ClientTimeout     time.Duration
}

// Answer is what a client saw.
type Answer struct {
	At            time.Time // when it asked
	Took          time.Duration
	ID            string
	Tenant        string
	Class         string
	Entry         int
	ClientTimeout time.Duration
	Status        int  // 0: no answer
	DialFailed    bool // the connection was never made
	Body          string
	RetryAfter    time.Duration // what Retry-After said
}

// Load plays streams against dispatchers.
type Load struct {
	Addrs []string

	client *http.Client
	mu     sync.Mutex
	got    []Answer
	all    sync.WaitGroup
	n      uint64
	tag    uint64
}

// NewLoad makes a load against dispatchers at these addresses.
func NewLoad(seed uint64, addrs []string) *Load {
	return &Load{Addrs: addrs, tag: seed & 0xffffffff, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 512, MaxConnsPerHost: 512, DisableCompression: true}}}
}

// Play runs streams until the context ends.
func (l *Load) Play(ctx context.Context, seed uint64, streams []Stream) {
	for i, s := range streams {
		l.all.Add(1)
		go func() {
			defer l.all.Done()
			l.stream(ctx, rand.New(rand.NewPCG(seed, uint64(i))), s)
		}()
	}
}

func (l *Load) stream(ctx context.Context, rng *rand.Rand, s Stream) {
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
		l.all.Add(1)
		go l.ask(s)
	}
}

func (l *Load) ask(s Stream) {
	defer l.all.Done()
	l.mu.Lock()
	l.n++
	id := fmt.Sprintf("%08x%08x", l.tag, l.n)
	addr := l.Addrs[s.Entry]
	l.mu.Unlock()
	// A client that leaves on the second would not see the answer that it is owed then.
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
	l.got = append(l.got, a)
	l.mu.Unlock()
}

// Wait returns when the streams have ended and all jobs are answered or given up.
func (l *Load) Wait() { l.all.Wait() }

// Answers are what the clients saw so far.
func (l *Load) Answers() []Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Answer(nil), l.got...)
}

// AnswersBetween are the answers to what was asked in a span at any of these entries.
func AnswersBetween(list []Answer, from, to time.Time, entries ...int) (some []Answer) {
	for _, a := range list {
		if !a.At.Before(from) && a.At.Before(to) && slices.Contains(entries, a.Entry) {
			some = append(some, a)
		}
	}
	return some
}

// ServedFraction is the part that was answered with a result; 0 of nothing.
func ServedFraction(list []Answer) float64 {
	n := 0
	for _, a := range list {
		if a.Status == http.StatusOK {
			n++
		}
	}
	return float64(n) / float64(max(len(list), 1))
}

// Close ends idle connections.
func (l *Load) Close() { l.client.CloseIdleConnections() }
