package main

import (
	"encoding/json"
	"fmt"
	"math"

	"example.org/bellstream/balance"
)

// frame is one batch as it stands on the wire.
type frame struct {
	Clock *float64        `json:"clock"`
	Turn  json.RawMessage `json:"turn"`
	Parts []struct {
		Who  string `json:"who"`
		News []news `json:"news"`
	} `json:"parts"`
}

// reply is the answer to a frame.
type reply struct {
	Turn  json.RawMessage `json:"turn"`
	Parts []*replyPart    `json:"parts"`
}

type replyPart struct {
	Who       string     `json:"who"`
	Decisions []decision `json:"decisions"`
}

// host holds the instances of this process and the numbered lists.
type host struct {
	nodes  map[string]*balance.Balancer
	sheets map[int][]balance.WorkerInfo
}

func newHost() *host {
	return &host{nodes: map[string]*balance.Balancer{}, sheets: map[int][]balance.WorkerInfo{}}
}

// batch decodes one line, lets the instances decide and encodes their actions.
func (h *host) batch(line []byte) ([]byte, error) {
	var f frame
	if err := json.Unmarshal(line, &f); err != nil {
		return nil, fmt.Errorf("not a batch: %w", err)
	}
	if f.Clock == nil || math.IsNaN(*f.Clock) || len(f.Turn) == 0 {
		return nil, fmt.Errorf("not a batch: clock or turn is missing")
	}
	rep := reply{Turn: f.Turn, Parts: []*replyPart{}}
	for _, p := range f.Parts {
		acts, err := h.part(*f.Clock, p.Who, p.News)
		if err != nil {
			return nil, fmt.Errorf("turn %s, %s: %w", f.Turn, p.Who, err)
		}
		if len(acts) > 0 {
			rep.Parts = append(rep.Parts, &replyPart{p.Who, acts})
		}
	}
	return json.Marshal(rep)
}

// part plays one instance's events. Whatever came before a stop in the same
// batch is void with it. A panic in the module becomes a fault on the wire.
func (h *host) part(now float64, who string, all []news) (acts []decision, err error) {
	defer func() {
		if r := recover(); r != nil {
			acts, err = []decision{{GiveIn: &text{fmt.Sprint(r)}}}, nil
		}
	}()
	var pending []balance.Event
	for i := range all {
		n := &all[i]
		switch {
		case n.Sheet != nil:
			h.sheet(n.Sheet)
		case n.Shutdown != nil:
			delete(h.nodes, who)
			pending = nil
		case n.PowerOn != nil:
			pending = nil
			if h.nodes[who], err = powerOn(n.PowerOn); err != nil {
				return nil, fmt.Errorf("POWER_ON: %w", err)
			}
		default:
			ev, err := h.event(n)
			if err != nil {
				return nil, err
			}
			if ev != nil {
				pending = append(pending, ev)
			}
		}
	}
	node := h.nodes[who]
	if node == nil || len(pending) == 0 {
		return nil, nil
	}
	for _, a := range node.Step(now, pending) {
		acts = append(acts, encode(a))
	}
	return acts, nil
}

// sheet stores a numbered list.
func (h *host) sheet(s *listing) {
	list := make([]balance.WorkerInfo, 0, len(s.Lines))
	for _, l := range s.Lines {
		list = append(list, balance.WorkerInfo{ID: l.Executor, Zone: l.Locality, Kind: l.Model,
			Cell: l.Cluster, State: states[l.Availability], Started: l.LastStart})
	}
	h.sheets[s.Table] = list
}
