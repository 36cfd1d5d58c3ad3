// Package downstream serves the clients: it accepts connections, reads requests, passes each request to the
// handler, writes the handler's answer and detects clients that disconnect.
package downstream
