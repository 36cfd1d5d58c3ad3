package lab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Stream is an open-loop flow of jobs: they come at their own pace, however
// slow the answers are.
type Stream struct {
	Tenant, Class string
	Entry         int     // index of the dispatcher
	Slots         int     // of each job; 0 means 1
	Rate          float64 // a second
	Even          bool    // evenly spaced; false: Poisson
	Patience      time.Duration
}

// Answer is what a client saw.
type Answer struct {
	At     time.Time // when it asked
	Took   time.Duration
	ID     string
	Tenant string
	Class  string
	Entry  int
	Status int // 0: no answer
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
		if !s.Even {
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
	ctx, cancel := context.WithTimeout(context.Background(), s.Patience)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/"+s.Class,
		strings.NewReader(fmt.Sprintf("%s %d slots=%d", s.Tenant, s.Entry, max(s.Slots, 1))))
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Class", s.Class)
	req.Header.Set("Tenant", s.Tenant)
	req.Header.Set("Request-Timeout", fmt.Sprintf("%.3f", s.Patience.Seconds()))
	if s.Slots > 1 {
		req.Header.Set("Request-Info", fmt.Sprintf("slots=%d", s.Slots))
	}
	a := Answer{At: time.Now(), ID: id, Tenant: s.Tenant, Class: s.Class, Entry: s.Entry}
	if resp, err := l.client.Do(req); err == nil {
		a.Status = resp.StatusCode
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
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

// Close ends idle connections.
func (l *Load) Close() { l.client.CloseIdleConnections() }
