package main

import (
	"encoding/json"
	"fmt"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/settings"
)

var states = map[string]balance.WorkerState{
	"Running": balance.Running, "Stopping": balance.Draining, "Deleted": balance.Gone,
}

var rosterKinds = map[string]balance.RosterKind{
	"SAVED": balance.RosterSaved, "FULL": balance.RosterFull,
	"INCREMENTAL": balance.RosterDelta, "FAILED": balance.RosterFailed,
}

var outcomes = map[string]balance.Outcome{
	"success": balance.Served, "failure": balance.Errored, "overloaded": balance.Full,
	"timed_out": balance.TimedOut, "unreachable": balance.Unreachable, "broken": balance.Broken,
	"withdrawn": balance.Cancelled, "void": balance.Void,
}

// news is one event: the field of its name is set, none for an unknown one.
type news struct {
	PowerOn    *opening `json:"POWER_ON"`
	Sheet      *listing `json:"SHEET"`
	Shutdown   *message `json:"SHUTDOWN"`
	Accept     *message `json:"ACCEPT"`
	Expired    *message `json:"EXPIRED"`
	Settled    *message `json:"SETTLED"`
	Heartbeat  *message `json:"HEARTBEAT"`
	Sampled    *message `json:"SAMPLED"`
	Wake       *message `json:"WAKE"`
	PeersKnown *message `json:"PEERS_KNOWN"`
}

// opening is an instance's first message.
type opening struct {
	Salt    json.Number     `json:"salt"`
	Options json.RawMessage `json:"options"`
}

// powerOn starts an instance from its first message.
func powerOn(m *opening) (*balance.Balancer, error) {
	var seed uint64
	if _, err := fmt.Sscan(m.Salt.String(), &seed); err != nil {
		if i, err := m.Salt.Int64(); err == nil {
			seed = uint64(i)
		}
	}
	s, err := settings.Parse(m.Options)
	if err != nil {
		return nil, err
	}
	return balance.New(s.Config(), seed)
}

// listing is a numbered list of executors.
type listing struct {
	Table int `json:"table"`
	Lines []struct {
		Executor     string  `json:"executor"`
		Locality     string  `json:"locality"`
		Model        string  `json:"model"`
		Cluster      int     `json:"cluster"`
		Availability string  `json:"availability"`
		LastStart    float64 `json:"last_start"`
	} `json:"lines"`
}

// message holds the fields of all other events.
type message struct {
	MsgID       string    `json:"msg_id"`
	Priority    string    `json:"priority"`
	Tenant      any       `json:"tenant"`
	ExpiresIn   float64   `json:"expires_in"`
	CoresNeeded float64   `json:"cores_needed"`
	Memory      float64   `json:"memory"`
	Retry       bool      `json:"retry"`
	Executor    string    `json:"executor"`
	Sort        int       `json:"sort"`
	Go          int       `json:"go"`
	NoMore      bool      `json:"no_more"`
	Reason      string    `json:"reason"`
	Load        []float64 `json:"load"`
	Kind        string    `json:"kind"`
	Table       int       `json:"table"`
}

// event translates one message; nil means that the module has no use for it.
func (h *host) event(n *news) (balance.Event, error) {
	switch {
	case n.Accept != nil:
		m := n.Accept
		tenant, _ := m.Tenant.(string)
		return balance.JobArrived{ID: m.MsgID, Class: m.Priority, Tenant: tenant, Left: m.ExpiresIn,
			Slots: m.CoresNeeded, Memory: m.Memory, Retry: m.Retry}, nil
	case n.Expired != nil:
		return balance.JobGone{ID: n.Expired.MsgID}, nil
	case n.Settled != nil:
		m := n.Settled
		out, ok := outcomes[m.Reason]
		if !ok {
			return nil, fmt.Errorf("SETTLED: unknown reason %q", m.Reason)
		}
		return balance.AttemptDone{ID: m.MsgID, Attempt: m.Go, Worker: m.Executor, Outcome: out,
			Closed: m.NoMore, Report: m.Load}, nil
	case n.Heartbeat != nil && n.Heartbeat.Sort == 1:
		return balance.AttemptStarted{ID: n.Heartbeat.MsgID, Attempt: n.Heartbeat.Go}, nil
	case n.Sampled != nil:
		m := n.Sampled
		out, ok := outcomes[m.Reason]
		if !ok {
			return nil, fmt.Errorf("SAMPLED: unknown reason %q", m.Reason)
		}
		return balance.ProbeDone{Worker: m.Executor, Outcome: out, Report: m.Load}, nil
	case n.Wake != nil:
		return balance.TimerFired{}, nil
	case n.PeersKnown != nil:
		m := n.PeersKnown
		kind, ok := rosterKinds[m.Kind]
		if !ok {
			return nil, fmt.Errorf("PEERS_KNOWN: unknown kind %q", m.Kind)
		}
		up := balance.RosterUpdate{Kind: kind}
		if kind != balance.RosterFailed {
			list, ok := h.sheets[m.Table]
			if !ok {
				return nil, fmt.Errorf("PEERS_KNOWN: list %d was never sent", m.Table)
			}
			up.Workers = list
		}
		return up, nil
	}
	return nil, nil // progress, streams, HEARD and what later wires may add
}

// decision is one action: the field of its name is set.
type decision struct {
	HandOff   *sendTo  `json:"HAND_OFF,omitempty"`
	PushBack  *ending  `json:"PUSH_BACK,omitempty"`
	Surrender *ending  `json:"SURRENDER,omitempty"`
	CallOff   *callOff `json:"CALL_OFF,omitempty"`
	Touch     *sendTo  `json:"TOUCH,omitempty"`
	After     *after   `json:"AFTER,omitempty"`
	Tail      *tail    `json:"TAIL,omitempty"`
	WriteLog  *text    `json:"WRITE_LOG,omitempty"`
	GiveIn    *text    `json:"GIVE_IN,omitempty"`
}

type sendTo struct {
	MsgID    string `json:"msg_id,omitempty"`
	Executor string `json:"executor"`
}

type ending struct {
	MsgID        string  `json:"msg_id"`
	NotBeforeFor float64 `json:"not_before_for,omitempty"`
}

type callOff struct {
	MsgID string `json:"msg_id"`
	Go    int    `json:"go"`
}

type after struct {
	Span float64 `json:"span"`
	Ref  string  `json:"ref"`
}

type tail struct {
	Want bool `json:"want"`
}

type text struct {
	BodyText string `json:"body_text"`
}

// encode translates one action.
func encode(a balance.Action) decision {
	switch a := a.(type) {
	case balance.Send:
		return decision{HandOff: &sendTo{a.ID, a.Worker}}
	case balance.Refuse:
		return decision{PushBack: &ending{a.ID, a.After}}
	case balance.Fail:
		return decision{Surrender: &ending{MsgID: a.ID}}
	case balance.Cancel:
		return decision{CallOff: &callOff{a.ID, a.Attempt}}
	case balance.Probe:
		return decision{Touch: &sendTo{Executor: a.Worker}}
	case balance.SetTimer:
		return decision{After: &after{a.After, "t"}}
	case balance.Subscribe:
		return decision{Tail: &tail{true}}
	case balance.Log:
		return decision{WriteLog: &text{a.Text}}
	}
	panic(fmt.Sprintf("no wire form for %T", a))
}
