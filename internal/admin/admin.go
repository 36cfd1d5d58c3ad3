// Package admin is the listener for operators: metrics, state, no traffic of
// clients. It is off unless the operator's file names an address for it.
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

// Server is the listener. Subsystems add what they have to show before Start.
type Server struct {
	Registry *prometheus.Registry
	mux      *http.ServeMux
	http     *http.Server
	listener net.Listener
}

// New listens on an address.
func New(listen string) (*Server, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	s := &Server{Registry: prometheus.NewRegistry(), mux: http.NewServeMux(), listener: l}
	s.mux.HandleFunc("GET /metrics", s.metrics)
	// Operators are few, and a stuck one must not cost descriptors for long.
	s.http = &http.Server{Handler: s.mux, ReadHeaderTimeout: 2 * time.Second, WriteTimeout: 10 * time.Second,
		IdleTimeout: 30 * time.Second, MaxHeaderBytes: 16 << 10}
	return s, nil
}

// metrics writes the text format. promhttp would bring compressors that weigh
// on every instance, also where there is no admin listener.
func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	families, err := s.Registry.Gather()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	format := expfmt.NewFormat(expfmt.TypeTextPlain)
	w.Header().Set("Content-Type", string(format))
	e := expfmt.NewEncoder(w, format)
	for _, f := range families {
		if e.Encode(f) != nil {
			return // whoever asked has left
		}
	}
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// JSON shows what a function returns under a path; nil means 404.
func (s *Server) JSON(path string, show func() any) {
	s.mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		v := show()
		if v == nil {
			http.Error(w, "not in use here: the operator's file has no block for it", http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(v)
	})
}

// Start serves until Close.
func (s *Server) Start() { go s.http.Serve(s.listener) }

// Close ends it, within a moment.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		s.http.Close()
	}
}
