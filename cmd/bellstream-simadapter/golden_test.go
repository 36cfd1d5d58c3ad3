package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"reflect"
	"strings"
	"testing"

	"example.org/bellstream/balance"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Each message of the simulator is translated into the same event as before.
func TestGoldenEvents(t *testing.T) {
	raw, err := os.ReadFile("testdata/golden/events.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	want := []balance.Event{
		balance.JobArrived{ID: "t/1", Class: "c", Tenant: "north", Timeout: 5.5, Slots: 2, Memory: 3, Retry: true},
		balance.JobArrived{ID: "t/2", Class: "c"},
		balance.ClientDisconnected{ID: "t/3"},
		balance.AttemptDone{ID: "t/4", Attempt: 1, Worker: "e/1", Outcome: balance.Served,
			JobFinished: true, Report: []float64{1, 2}},
		balance.AttemptDone{ID: "t/4", Outcome: balance.Failed},
		balance.AttemptDone{ID: "t/4", Outcome: balance.Overloaded},
		balance.AttemptDone{ID: "t/4", Outcome: balance.TimedOut},
		balance.AttemptDone{ID: "t/4", Outcome: balance.Unreachable},
		balance.AttemptDone{ID: "t/4", Outcome: balance.ConnectionLost},
		balance.AttemptDone{ID: "t/4", Outcome: balance.Cancelled},
		balance.AttemptDone{ID: "t/4", Outcome: balance.NotSent},
		balance.AttemptStarted{ID: "t/5", Attempt: 2},
		nil, // a heartbeat of another kind
		balance.HealthCheckDone{Worker: "e/2", Outcome: balance.Served, Report: []float64{3}},
		balance.HealthCheckDone{Worker: "e/2", Outcome: balance.Unreachable},
		balance.TimerFired{},
		nil, // an endpoint list
		balance.EndpointUpdate{Kind: balance.EndpointsCached, Workers: goldenList},
		balance.EndpointUpdate{Kind: balance.EndpointsSnapshot, Workers: goldenList},
		balance.EndpointUpdate{Kind: balance.EndpointsDelta, Workers: goldenList},
		balance.EndpointUpdate{Kind: balance.EndpointsFailed},
		nil, // a message of an unknown kind
		nil, // an empty message
	}
	h := newAdapter()
	lines := bytes.Split(bytes.TrimSuffix(raw, []byte("\n")), []byte("\n"))
	if len(lines) != len(want) {
		t.Fatalf("got %d lines, want %d", len(lines), len(want))
	}
	for i, line := range lines {
		var n inbound
		if err := json.Unmarshal(line, &n); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		if n.EndpointList != nil {
			h.storeEndpointList(n.EndpointList)
		}
		got, err := h.decodeEvent(&n)
		if err != nil || !reflect.DeepEqual(got, want[i]) {
			t.Errorf("message %s: got event %+v and error %v, want %+v", line, got, err, want[i])
		}
	}
}

var goldenList = []balance.WorkerInfo{
	{ID: "e/1", Zone: "z", Kind: "k", Cell: 4, State: balance.Running, StartedAt: 5.5},
	{ID: "e/2", State: balance.Draining},
	{ID: "e/3", State: balance.Removed},
	{ID: "e/4"},
}

// Each action is encoded in the same way as before.
func TestGoldenDecisions(t *testing.T) {
	var got bytes.Buffer
	e := json.NewEncoder(&got)
	for _, a := range []balance.Action{
		balance.Send{ID: "t/1", Worker: "e/1"},
		balance.Reject{ID: "t/2", RetryAfter: 1.5},
		balance.Reject{ID: "t/2"},
		balance.Fail{ID: "t/3"},
		balance.Cancel{ID: "t/4", Attempt: 2},
		balance.Cancel{ID: "t/4"},
		balance.HealthCheck{Worker: "e/2"},
		balance.SetTimer{After: 0.25},
		balance.Subscribe{},
		balance.Log{Text: "a line"},
	} {
		if err := e.Encode(encodeAction(a)); err != nil {
			t.Fatal(err)
		}
	}
	compareWithGolden(t, "decisions.jsonl", got.Bytes())
}

// recordedLogWording restores the wording that log lines had when the golden files were recorded.
var recordedLogWording = strings.NewReplacer(
	"checking its health until it answers", "probing it",
	"endpoint poll failed", "roster call failed",
	"next poll in", "asking again in",
)

// In a conversation with two instances and every kind of message, the replies are the same to the last digit.
func TestGoldenConversation(t *testing.T) {
	in, err := os.ReadFile("testdata/golden/conversation-in.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := serve(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	compareWithGolden(t, "conversation-out.jsonl", []byte(recordedLogWording.Replace(out.String())))
}

func compareWithGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := "testdata/golden/" + name
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s, want\n%s", name, got, want)
	}
}
