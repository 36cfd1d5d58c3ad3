// Package admin implements the HTTP listener for operators, which serves metrics and state. The admin block of the
// operator's file enables it.
package admin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"
)

const (
	readHeaderTimeout = 2 * time.Second
	writeTimeout      = 10 * time.Second
	idleTimeout       = 30 * time.Second
	shutdownTimeout   = 100 * time.Millisecond
	maxHeaderBytes    = 16 << 10
)

// Server is the HTTP server of the admin listener. Subsystems register metrics and JSON content before Start.
type Server struct {
	Registry *prometheus.Registry
	mux      *http.ServeMux
	http     *http.Server
	listener net.Listener
}

// New listens on an address. Requests are served from Start on.
func New(listen string) (*Server, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	s := &Server{
		Registry: prometheus.NewRegistry(),
		mux:      http.NewServeMux(),
		listener: listener,
	}
	s.mux.HandleFunc("GET /metrics", s.metrics)
	s.http = &http.Server{ // the timeouts free the descriptors of stalled clients
		Handler:           s.mux,
		ReadHeaderTimeout: readHeaderTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return s, nil
}

// metrics writes the metrics in the Prometheus text format. Package promhttp is not used, as it would link compressors
// into the program that take memory in every instance, even without an admin listener.
func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	families, err := s.Registry.Gather()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	format := expfmt.NewFormat(expfmt.TypeTextPlain)
	w.Header().Set("Content-Type", string(format))
	encoder := expfmt.NewEncoder(w, format)
	for _, family := range families {
		if encoder.Encode(family) != nil {
			return // the client has disconnected
		}
	}
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// JSON serves, at a path, the value that content returns, encoded as JSON. If the value is nil, the answer is 404.
func (s *Server) JSON(path string, content func() any) {
	s.mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		value := content()
		if value == nil {
			http.Error(w, "not in use here: the operator's file has no block for it", http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(value) // an error means that the client has disconnected
	})
}

// Start serves requests in the background until Close.
func (s *Server) Start() {
	go func() { _ = s.http.Serve(s.listener) }()
}

// Close shuts the server down; requests that take longer than shutdownTimeout are cut off.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close()
	}
}
