// Package server serves the control address: it reads one line from each client,
// lets the handler execute the command, and writes the answer.
package server

import (
	"bufio"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"example.org/bellstream/internal/control"
)

// MaxConnections limits the number of concurrent clients, and so the file descriptors in use.
const MaxConnections = 16

const (
	readTimeout      = 10 * time.Second // long enough to type a line
	writeTimeout     = time.Second
	lingerTimeout    = 200 * time.Millisecond
	maxLingerBytes   = 64 << 10
	acceptRetryDelay = 5 * time.Millisecond
	errorLogInterval = time.Second // minimum time between log lines about failed accepts
)

// Server is the listener and its connections.
type Server struct {
	listener net.Listener
	handler  control.Handler
	log      func(format string, args ...any)

	mu              sync.Mutex
	connections     []net.Conn // oldest first
	wg              sync.WaitGroup
	lastAcceptError time.Time // when a failed accept was last logged
}

// Open starts to serve a listener, and returns the server. Close stops it.
func Open(listener net.Listener, handler control.Handler, log func(string, ...any)) *Server {
	s := &Server{
		listener: listener,
		handler:  handler,
		log:      log,
	}
	s.wg.Go(s.acceptLoop)
	return s
}

// Addr returns the listener's address.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Close closes the listener and every connection, and returns when all goroutines have ended.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for _, conn := range s.connections {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) acceptLoop() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.logAcceptError(err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.add(conn)
		s.wg.Go(func() {
			s.serve(conn)
			s.remove(conn)
		})
	}
}

func (s *Server) logAcceptError(err error) {
	now := time.Now()
	if now.Sub(s.lastAcceptError) > errorLogInterval {
		s.log("control: accept: %v", err)
		s.lastAcceptError = now
	}
}

// add stores a connection. At the limit it closes the oldest connection, so that
// clients that send nothing don't keep operators out.
func (s *Server) add(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.connections) >= MaxConnections {
		_ = s.connections[0].Close()
		s.connections = s.connections[1:]
	}
	s.connections = append(s.connections, conn)
}

func (s *Server) remove(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.connections, conn); i >= 0 {
		s.connections = slices.Delete(s.connections, i, i+1)
	}
}

// serve reads a line, executes the command and writes the answer.
func (s *Server) serve(conn net.Conn) {
	line, ok := readLine(conn)
	if !ok {
		return
	}
	answer := control.Answer(s.execute(line))
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := conn.Write(answer); err != nil {
		return
	}
	discardRest(conn)
}

// readLine reads a line and returns it without the newline; ok is false if no line
// was received. A line that is too long is truncated, but remains longer than
// MaxLine, so that Parse rejects it.
func readLine(conn net.Conn) (line []byte, ok bool) {
	_ = conn.SetReadDeadline(time.Now().Add(readTimeout))
	reader := bufio.NewReaderSize(conn, control.MaxLine+2)
	line, err := reader.ReadSlice('\n')
	switch {
	case err == nil:
		return line[:len(line)-1], true
	case errors.Is(err, bufio.ErrBufferFull):
		return line, true
	case errors.Is(err, io.EOF) && len(line) > 0: // the last line may lack a newline
		return line, true
	}
	return nil, false
}

func (s *Server) execute(line []byte) error {
	command, err := control.Parse(line)
	if err != nil {
		return err
	}
	err = command.Execute(s.handler)
	// STATUS is not logged, because programs poll it many times per second.
	if command.Verb != control.Status {
		s.log("control: %s: %s", command, outcomeText(err))
	}
	return err
}

// discardRest shuts down the sending side and reads the remaining data: closing a
// connection with unread data would reset it, and the client could lose the answer.
func discardRest(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, conn, maxLingerBytes)
}

func outcomeText(err error) string {
	if err == nil {
		return "ok"
	}
	return err.Error()
}
