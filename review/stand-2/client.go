package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// job is one request of a client.
type job struct {
	id      string
	class   string
	tenant  string
	to      int // dispatcher
	sent    time.Time
	patient time.Duration
	status  int // 0: no answer
	body    string
	ended   time.Time
	err     error
}

// clients send jobs to dispatchers, open loop, without retries.
type clients struct {
	record *record
	http   []*http.Client
	addrs  []string
	prefix string

	mu   sync.Mutex
	jobs []*job
	wg   sync.WaitGroup
	next int
}

func newClients(rec *record, seed uint64, addrs []string) *clients {
	c := &clients{record: rec, addrs: addrs, prefix: fmt.Sprintf("%04x", seed&0xffff)}
	for range addrs {
		transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
		c.http = append(c.http, &http.Client{Transport: transport})
	}
	return c
}

// send sends one job in the background.
func (c *clients) send(to int, class, tenant string, patience time.Duration, header map[string]string) {
	c.mu.Lock()
	c.next++
	j := &job{id: fmt.Sprintf("%s%012x", c.prefix, c.next), class: class, tenant: tenant, to: to, patient: patience}
	c.jobs = append(c.jobs, j)
	c.mu.Unlock()
	c.wg.Go(func() { c.do(j, header) })
}

func (c *clients) do(j *job, header map[string]string) {
	ctx, cancel := context.WithTimeout(context.Background(), j.patient+2*time.Second)
	defer cancel()
	url := "http://" + c.addrs[j.to] + "/" + j.class
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString("order of "+j.tenant))
	if err != nil {
		return
	}
	r.Header.Set("Request-Id", j.id)
	r.Header.Set("Request-Class", j.class)
	r.Header.Set("Tenant", j.tenant)
	r.Header.Set("Request-Timeout", fmt.Sprintf("%.3f", j.patient.Seconds()))
	for k, v := range header {
		r.Header.Set(k, v)
	}
	sent := time.Now()
	c.record.addAt(sent, "client: %s %s of %s to n%d", j.id, j.class, j.tenant, j.to)
	answer, err := c.http[j.to].Do(r)
	var body []byte
	status := 0
	if err == nil {
		body, err = io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if err == nil {
			status = answer.StatusCode
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	j.sent, j.ended, j.status, j.body, j.err = sent, time.Now(), status, string(body), err
	c.record.add("client: %s answered %d %q %v", j.id, status, body, err)
}

func (c *clients) wait() { c.wg.Wait() }

// all returns copies of all jobs.
func (c *clients) all() (list []job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range c.jobs {
		list = append(list, *j)
	}
	return list
}
