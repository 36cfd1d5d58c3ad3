package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// lateAnswer is the time after a request's own time from which its answer counts as lost.
const lateAnswer = 500 * time.Millisecond

// goneSlack is the time after a client's close from which no attempt may begin for it.
const goneSlack = 100 * time.Millisecond

// crowd has idle clients fill a dispatcher's descriptors. They connect, say nothing, and close when the dispatcher
// does. Right after them usual clients connect and send a request each.
func crowd(r *rig) (int, error) {
	const (
		idlers   = 600
		requests = 20
		class    = "sone-oppslag"
		deadline = 1500 * time.Millisecond
	)
	if err := checkBacklog(idlers + requests); err != nil {
		return 0, err
	}
	workers := newBook()
	watch := newDiscovery(r, 100*time.Millisecond)
	view, err := watch.open("n0")
	if err != nil {
		return 0, err
	}
	list, err := r.startFleet(4, workers, func(string, string, int) outcome {
		return outcome{50 * time.Millisecond, "done"}
	})
	if err != nil {
		return 0, err
	}
	for _, w := range list {
		watch.set(w.entry("active"))
	}
	listen := freeAddress()
	settings := siteSettings(0, 1, "fana")
	lane(settings, class)["hard_limit"] = deadline.Seconds()
	conf := config("n0", listen, view.address, settings)
	conf["limits"].(object)["sockets"] = 256
	configPath := filepath.Join(r.dir, "config.json")
	if err := writeJSON(configPath, conf); err != nil {
		return 0, err
	}
	n0, err := r.launch("n0", configPath)
	if err != nil {
		return 0, err
	}
	if err := waitReady(listen, 20*time.Second); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	// One request that takes no part in the check: the dispatcher serves before the crowd comes.
	before := r.newClients("n0", listen).do(job{id: newID("w"), class: class, tenant: "fjordmat", timeout: deadline})
	if before.status != 200 {
		return 0, fmt.Errorf("the dispatcher does not serve: %d, %w", before.status, before.err)
	}
	if r.trouble {
		idle, err := r.connectIdle(listen, idlers)
		if err != nil {
			return 0, err
		}
		defer idle.close()
	}
	c := r.newClients("n0", listen)
	for range requests {
		c.send(job{id: newID("c"), class: class, tenant: "fjordmat", timeout: deadline})
		time.Sleep(10 * time.Millisecond)
	}
	answers := c.answers()
	time.Sleep(3 * time.Second) // by then the dispatcher has accepted all connections
	if !n0.running() {
		return 0, errors.New("n0 has ended")
	}
	served := 0
	for _, a := range answers {
		took := a.at.Sub(a.sentAt)
		switch {
		case a.status != 0 && took <= deadline+lateAnswer:
			served++
		case a.taken && isTimeout(a.err):
			r.found("request %s, whose client waits %v, had no answer %.3f s after it was sent",
				a.id, deadline, took.Seconds())
		case a.err != nil:
			r.note("%s: %v: its connection was not accepted, or shut unread", a.id, a.err)
		default:
			r.found("request %s, whose client waits %v, was answered %d after %.3f s",
				a.id, deadline, a.status, took.Seconds())
		}
	}
	late := 0
	for _, e := range workers.receipts() {
		for _, a := range answers {
			if since := e.at.Sub(a.at); e.id == a.id && a.taken && isTimeout(a.err) && since > goneSlack {
				late++
				r.found("request %s was sent to %s %.3f s after its client had closed", e.id, e.worker, since.Seconds())
			}
		}
	}
	r.say("%d requests, %d answered in time, %d sent to a worker after their client had closed", requests, served, late)
	return r.verdict("lost"), nil
}

// checkBacklog reports an error where the system accepts fewer waiting connections than the case makes: a connection
// beyond them is not accepted by the dispatcher's machine.
func checkBacklog(wanted int) error {
	raw, err := os.ReadFile("/proc/sys/net/core/somaxconn")
	if err != nil {
		return err
	}
	most, err := strconv.Atoi(strings.TrimSpace(string(raw)))
	if err == nil && most < wanted {
		err = fmt.Errorf("the system lets %d connections wait, the case needs %d", most, wanted)
	}
	return err
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// idleClients are connections on which nothing is sent.
type idleClients struct {
	mu    sync.Mutex
	conns []net.Conn
	shut  int
}

// connectIdle opens connections one after the other. Each is closed as soon as the dispatcher closes it.
func (r *rig) connectIdle(address string, count int) (*idleClients, error) {
	idle := &idleClients{}
	start := time.Now()
	for range count {
		conn, err := net.DialTimeout("tcp", address, 5*time.Second)
		if err != nil {
			idle.close()
			return nil, err
		}
		idle.conns = append(idle.conns, conn)
		go func() {
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
			idle.mu.Lock()
			idle.shut++
			idle.mu.Unlock()
		}()
	}
	idle.mu.Lock()
	defer idle.mu.Unlock()
	r.note("%d idle clients have connected in %.3f s; %d were shut since",
		count, time.Since(start).Seconds(), idle.shut)
	return idle, nil
}

func (i *idleClients) close() {
	for _, conn := range i.conns {
		_ = conn.Close()
	}
}
