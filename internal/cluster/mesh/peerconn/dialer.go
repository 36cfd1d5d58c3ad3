package peerconn

import "net"

// Dialer returns a dialer that uses the address that the instance listens on as the
// source address, so that firewalls and proxies between instances can identify an
// instance by it. If the address is nil or unspecified, the system chooses one.
func Dialer(listenIP net.IP) net.Dialer {
	if listenIP == nil || listenIP.IsUnspecified() {
		return net.Dialer{}
	}
	return net.Dialer{LocalAddr: &net.TCPAddr{IP: listenIP}}
}
