package service

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"example.org/bellstream/internal/lab/invariants"
	"example.org/bellstream/internal/lab/wiretest"
)

// endpointLine returns a message of discovery's watch with the given workers: the complete endpoint list, or with
// whole = false a change of it.
func (p *scenario) endpointLine(whole bool, which ...int) string {
	var hosts []string
	for _, n := range which {
		hosts = append(hosts, fmt.Sprintf(`{"host":%q,"dial":%q,"site":%q,"class":"k","block":1,"health":%q,"share":1,"born_ms":0}`,
			p.workers[n].name, p.workers[n].l.Addr(), string("zy"[n%2]), p.health[n]))
	}
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, p.seq, whole, strings.Join(hosts, ","))
}

func (p *scenario) allWorkers() (which []int) {
	for n := range p.workers {
		which = append(which, n)
	}
	return which
}

// recordNotifications records that discovery has sent the states of the given workers; the caller holds mu.
func (p *scenario) recordNotifications(which ...int) {
	for _, n := range which {
		p.notifications = append(p.notifications, invariants.EndpointChange{Dispatcher: "d", Worker: p.workers[n].name, State: p.health[n], At: p.now()})
	}
}

// serveDiscovery serves watches at one of discovery's addresses, until the listener is closed.
func (p *scenario) serveDiscovery(l net.Listener) {
	defer p.wg.Done()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		down := p.discoveryDown
		p.mu.Unlock()
		if down {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
			continue
		}
		p.wg.Go(func() {
			defer c.Close()
			r := bufio.NewReader(c)
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			p.mu.Lock()
			io.WriteString(c, wiretest.Lines(false, p.endpointLine(true, p.allWorkers()...)))
			p.recordNotifications(p.allWorkers()...)
			p.watches[c] = true
			p.mu.Unlock()
			r.Peek(1) // wait until the other side ends the watch
			p.mu.Lock()
			delete(p.watches, c)
			p.mu.Unlock()
		})
	}
}

// changeHealth sets a worker's state and sends it on all watches, unless discovery is silent.
func (p *scenario) changeHealth(n int, health string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.health[n] = health
	p.seq++
	if p.discoverySilent || len(p.watches) == 0 {
		return
	}
	line := p.endpointLine(false, n)
	for c := range p.watches {
		fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(line)+1, line)
	}
	p.recordNotifications(n)
}
