package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/settings"
)

var errIncompleteBatch = errors.New("invalid batch: clock or turn is missing")

// adapter holds the balancers of the simulated instances and the numbered endpoint lists.
type adapter struct {
	balancers     map[string]*balance.Balancer
	endpointLists map[int][]balance.WorkerInfo
}

func newAdapter() *adapter {
	return &adapter{
		balancers:     map[string]*balance.Balancer{},
		endpointLists: map[int][]balance.WorkerInfo{},
	}
}

// handleBatch decodes one line, passes the messages to the instances and returns their actions as JSON.
func (a *adapter) handleBatch(line []byte) ([]byte, error) {
	var batch batchRequest
	if err := json.Unmarshal(line, &batch); err != nil {
		return nil, fmt.Errorf("invalid batch: %w", err)
	}
	if batch.Now == nil || math.IsNaN(*batch.Now) || len(batch.BatchID) == 0 {
		return nil, errIncompleteBatch
	}
	reply := batchReply{BatchID: batch.BatchID, Instances: []*instanceReply{}}
	for _, instance := range batch.Instances {
		actions, err := a.stepInstance(*batch.Now, instance.Name, instance.Messages)
		if err != nil {
			return nil, fmt.Errorf("batch %s, instance %s: %w", batch.BatchID, instance.Name, err)
		}
		if len(actions) > 0 {
			reply.Instances = append(reply.Instances, &instanceReply{instance.Name, actions})
		}
	}
	return json.Marshal(reply)
}

// stepInstance applies one instance's messages and runs one step of its balancer. If the decision module
// panics, the only action returned is a fault message with the panic's text.
func (a *adapter) stepInstance(now float64, name string, messages []inbound) (actions []outbound, err error) {
	defer func() {
		if r := recover(); r != nil {
			actions = []outbound{{Fault: &textMessage{fmt.Sprint(r)}}}
			err = nil
		}
	}()
	events, err := a.applyMessages(name, messages)
	if err != nil {
		return nil, err
	}
	b := a.balancers[name]
	if b == nil || len(events) == 0 {
		return nil, nil
	}
	for _, action := range b.Step(now, events) {
		actions = append(actions, encodeAction(action))
	}
	return actions, nil
}

// applyMessages applies one instance's messages and returns the events for its next step. A start or stop of
// the instance discards the events before it in the same batch.
func (a *adapter) applyMessages(name string, messages []inbound) (events []balance.Event, err error) {
	for i := range messages {
		m := &messages[i]
		switch {
		case m.EndpointList != nil:
			a.storeEndpointList(m.EndpointList)
		case m.Shutdown != nil:
			delete(a.balancers, name)
			events = nil
		case m.Start != nil:
			events = nil
			if a.balancers[name], err = startBalancer(m.Start); err != nil {
				return nil, fmt.Errorf("POWER_ON: %w", err)
			}
		default:
			event, err := a.decodeEvent(m)
			if err != nil {
				return nil, err
			}
			if event != nil {
				events = append(events, event)
			}
		}
	}
	return events, nil
}

// startBalancer returns a Balancer with the settings and the seed of an instance's start message.
func startBalancer(m *startMessage) (*balance.Balancer, error) {
	s, err := settings.Parse(m.Settings)
	if err != nil {
		return nil, err
	}
	return balance.New(s.Config(), m.seed())
}

// seed returns the message's seed, which may be a signed number, or 0 if it is not an integer.
func (m *startMessage) seed() uint64 {
	var seed uint64
	if _, err := fmt.Sscan(m.Seed.String(), &seed); err != nil {
		if signed, err := m.Seed.Int64(); err == nil {
			return uint64(signed)
		}
	}
	return seed
}

func (a *adapter) storeEndpointList(m *endpointList) {
	list := make([]balance.WorkerInfo, 0, len(m.Endpoints))
	for _, e := range m.Endpoints {
		list = append(list, balance.WorkerInfo{
			ID:        e.Worker,
			Zone:      e.Zone,
			Kind:      e.Kind,
			Cell:      e.Cell,
			State:     workerStates[e.State],
			StartedAt: e.StartedAt,
		})
	}
	a.endpointLists[m.ID] = list
}
