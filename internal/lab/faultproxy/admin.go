package faultproxy

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"example.org/bellstream/internal/lab/fault"
)

// Bounds of the admin server.
const (
	maxCommandBytes   = 64 << 10
	maxHeaderBytes    = 16 << 10
	adminReadTimeout  = 2 * time.Second
	adminWriteTimeout = 5 * time.Second
)

// Admin returns the handler of the admin API: GET /faults and GET /doors list the
// rules and the endpoints, POST /faults adds a rule, DELETE /faults/{id} removes one.
func (p *Proxy) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /doors", p.listEndpoints)
	mux.HandleFunc("GET /faults", p.listRules)
	mux.HandleFunc("POST /faults", p.postRule)
	mux.HandleFunc("DELETE /faults/{id}", p.deleteRule)
	return mux
}

// Server returns an HTTP server for Admin.
func (p *Proxy) Server() *http.Server {
	return &http.Server{
		Handler:        p.Admin(),
		ReadTimeout:    adminReadTimeout,
		WriteTimeout:   adminWriteTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
}

// writeJSON writes a JSON response. It ignores write errors, which only the client
// can notice.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (p *Proxy) listEndpoints(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.Endpoints())
}

func (p *Proxy) listRules(w http.ResponseWriter, _ *http.Request) {
	rules := p.Rules()
	if rules == nil {
		rules = []fault.Rule{} // encoded as [] instead of null
	}
	writeJSON(w, rules)
}

func (p *Proxy) postRule(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCommandBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	rule, err := fault.ParseCommand(raw, p.Endpoints())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id, err := p.Inject(rule)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, map[string]int{"id": id})
}

func (p *Proxy) deleteRule(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.Atoi(r.PathValue("id"))
	if err != nil || !p.Remove(id) {
		http.Error(w, "there is no fault "+r.PathValue("id"), http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
