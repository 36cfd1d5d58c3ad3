package endpoints

import (
	"errors"
	"fmt"

	"github.com/tidwall/gjson"

	"example.org/bellstream/balance"
)

// Endpoint is one entry of discovery's list.
type Endpoint struct {
	balance.WorkerInfo
	Address string // address at which it is dialled
}

// Update is a complete list of workers or a set of changes to one. Seq is the list's version.
type Update struct {
	Seq       int64
	Complete  bool
	Endpoints []Endpoint
}

// workerStates maps the names of states in discovery's list to states.
var workerStates = map[string]balance.WorkerState{
	"active":  balance.Running,
	"leaving": balance.Draining,
	"left":    balance.Removed,
}

// errNotJSON and errMalformed are the errors of Parse that don't concern a single entry.
var (
	errNotJSON   = errors.New("list: not valid JSON")
	errMalformed = errors.New("list: seq or hosts is missing or of a wrong type")
)

// Parse decodes a list in discovery's format. It ignores unknown fields, and treats an unknown state as
// draining. It returns an error if raw is not valid JSON, or if a required field is missing.
func Parse(raw []byte) (*Update, error) {
	if !gjson.ValidBytes(raw) {
		return nil, errNotJSON
	}
	root := gjson.ParseBytes(raw)
	hosts := root.Get("hosts")
	if !root.IsObject() || !root.Get("seq").Exists() || hosts.Exists() && !hosts.IsArray() {
		return nil, errMalformed
	}
	update := &Update{
		Seq:      root.Get("seq").Int(),
		Complete: root.Get("whole").Bool(),
	}
	for i, host := range hosts.Array() {
		endpoint := parseEndpoint(host)
		if endpoint.ID == "" || endpoint.Address == "" && endpoint.State != balance.Removed {
			return nil, fmt.Errorf("list: hosts[%d] has no host or dial", i)
		}
		update.Endpoints = append(update.Endpoints, endpoint)
	}
	return update, nil
}

func parseEndpoint(host gjson.Result) Endpoint {
	state, known := workerStates[host.Get("health").String()]
	if !known {
		state = balance.Draining
	}
	return Endpoint{
		Address: host.Get("dial").String(),
		WorkerInfo: balance.WorkerInfo{
			ID:        host.Get("host").String(),
			Zone:      host.Get("site").String(),
			Kind:      host.Get("class").String(),
			Cell:      int(host.Get("block").Int()),
			State:     state,
			StartedAt: host.Get("born_ms").Float() / 1000,
		},
	}
}

// EndpointUpdate returns the update as an event for the decision module.
func (u *Update) EndpointUpdate() balance.EndpointUpdate {
	event := balance.EndpointUpdate{Kind: balance.EndpointsDelta}
	if u.Complete {
		event.Kind = balance.EndpointsSnapshot
	}
	for _, endpoint := range u.Endpoints {
		event.Workers = append(event.Workers, endpoint.WorkerInfo)
	}
	return event
}
