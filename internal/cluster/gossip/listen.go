package gossip

import (
	"fmt"
	"log"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/hashicorp/memberlist"

	"example.org/bellstream/internal/cluster/gossip/wire"
)

const (
	pushPullInterval  = 5 * time.Second // between exchanges of the complete state with another instance
	tcpTimeout        = 2 * time.Second
	gossipToDeadTime  = time.Minute // how long dead members still get updates, to notice that they are considered dead
	deadReclaimTime   = time.Second // after which another address may use a dead member's name
	maxListenAttempts = 8
)

// listen opens the listening sockets and starts memberlist on them.
func (n *Node) listen() error {
	host, portText, err := net.SplitHostPort(n.Listen)
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return fmt.Errorf("peers: listen: invalid port %q", portText)
	}
	logger := newMemberlistLog(n)
	t, err := newTransport(host, port, logger)
	if err != nil {
		return fmt.Errorf("peers: listen %s: %w", n.Listen, err)
	}
	if err := n.create(host, t, logger); err != nil {
		_ = t.Shutdown() // the first error is the one to report
		return err
	}
	return nil
}

// create starts memberlist on a transport.
func (n *Node) create(host string, t *transport, logger *log.Logger) error {
	config, err := n.memberlistConfig(host, t, logger)
	if err != nil {
		return err
	}
	if n.members, err = memberlist.Create(config); err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	return nil
}

func (n *Node) memberlistConfig(host string, t *transport, logger *log.Logger) (*memberlist.Config, error) {
	c := memberlist.DefaultLANConfig()
	c.Name = n.Name
	c.Label = n.Cluster
	c.Logger = logger
	c.Transport = t
	c.BindAddr = host
	c.BindPort = t.GetAutoBindPort()
	c.AdvertiseAddr = host
	c.AdvertisePort = c.BindPort
	c.PushPullInterval = pushPullInterval
	c.TCPTimeout = tcpTimeout
	c.GossipToTheDeadTime = gossipToDeadTime
	c.DeadNodeReclaimTime = deadReclaimTime
	c.Delegate = delegate{n}
	c.Events = events{n}
	c.Conflict = conflicts{n}
	c.DelegateProtocolVersion = wire.Version
	c.DelegateProtocolMin = wire.MinReaderVersion
	c.DelegateProtocolMax = wire.Version
	if err := n.setAdvertised(c); err != nil {
		return nil, err
	}
	if err := n.setKeys(c); err != nil {
		return nil, err
	}
	return c, nil
}

// setAdvertised sets the address at which others reach this instance. Without one, it is the
// listening address.
func (n *Node) setAdvertised(c *memberlist.Config) error {
	if n.Advertise == "" {
		return nil
	}
	host, portText, err := net.SplitHostPort(n.Advertise)
	if err != nil {
		return fmt.Errorf("peers: advertise %s: %w", n.Advertise, err)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return fmt.Errorf("peers: advertise %s: %w", n.Advertise, err)
	}
	c.AdvertiseAddr = host
	c.AdvertisePort = port
	return nil
}

func (n *Node) setKeys(c *memberlist.Config) error {
	if len(n.Keys) == 0 {
		return nil
	}
	keyring, err := memberlist.NewKeyring(n.Keys, n.Keys[0])
	if err != nil {
		return fmt.Errorf("peers: keys: %w", err)
	}
	n.keyring = keyring
	c.Keyring = keyring
	return nil
}

// transport is memberlist's NetTransport, but dials from the address that it listens on, so
// that firewalls and network traces can identify an instance by its source address.
type transport struct {
	*memberlist.NetTransport
	localAddr *net.TCPAddr
}

func newTransport(host string, port int, logger *log.Logger) (*transport, error) {
	config := &memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: port, Logger: logger}
	inner, err := memberlist.NewNetTransport(config)
	for attempt := 0; attempt < maxListenAttempts && port == 0 && isAddressInUse(err); attempt++ {
		// The port that the system chose for TCP may be in use for UDP. Try another one.
		inner, err = memberlist.NewNetTransport(config)
	}
	if err != nil {
		return nil, err
	}
	t := &transport{NetTransport: inner}
	if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
		t.localAddr = &net.TCPAddr{IP: ip}
	}
	return t, nil
}

// isAddressInUse reports whether an error means that the address is in use. It compares the
// text, because memberlist does not wrap the cause.
func isAddressInUse(err error) bool {
	return err != nil && strings.Contains(err.Error(), syscall.EADDRINUSE.Error())
}

// DialTimeout implements memberlist.Transport.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if t.localAddr != nil {
		d.LocalAddr = t.localAddr
	}
	return d.Dial("tcp", addr)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}
