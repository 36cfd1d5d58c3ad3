package main

import (
	"bytes"
	"strings"
	"testing"

	"example.org/bellstream/balance"
)

const startJSON = `{"POWER_ON":{"salt":7,"options":{"me":0,"balancers":1,"zone":"z","membership_mode":"pushed",` +
	`"lanes":[{"name":"c","aim":1,"hard_limit":5,"semantics":"safe"}],"caps":{"max_attempts":2,"probes":true},` +
	`"family_info":{"report_x0":"free slots"},"reporting":{"fields":["x0"]},"round":0.001,"novel":{"x":1}}}}`
const endpointListJSON = `{"SHEET":{"table":3,"lines":[{"executor":"e/1","locality":"z","availability":"Running"}]}}`
const cachedUpdateJSON = `{"PEERS_KNOWN":{"kind":"SAVED","revision":1,"table":3}}`
const jobJSON = `{"ACCEPT":{"msg_id":"t/1","priority":"c","expires_in":5}}`
const healthCheckJSON = `{"SAMPLED":{"reason":"success","spent":0.1,"executor":"e/1","load":[2]}}`

// batchLine returns a batch with the messages of one instance.
func batchLine(turn, messages string) string {
	return `{"clock":5,"turn":` + turn + `,"parts":[{"who":"node/0","news":[` + messages + `]}]}` + "\n"
}

func serveString(t *testing.T, in string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := serve(strings.NewReader(in), &out)
	return out.String(), err
}

func TestBatches(t *testing.T) {
	for _, c := range []struct{ name, in, want string }{
		{"empty", `{"clock":1,"turn":9,"parts":[]}` + "\n", `{"turn":9,"parts":[]}`},
		{"send", batchLine("1", startJSON+","+endpointListJSON+","+cachedUpdateJSON+","+jobJSON+","+healthCheckJSON),
			`"HAND_OFF":{"msg_id":"t/1","executor":"e/1"}`},
		{"unknown event", batchLine("1", startJSON+`,{"NOVEL":{"a":1}},`+endpointListJSON+","+cachedUpdateJSON+","+jobJSON),
			`"TOUCH":{"executor":"e/1"}`},
		{"restart in a batch", batchLine("1",
			startJSON+","+endpointListJSON+","+cachedUpdateJSON+","+jobJSON+`,{"SHUTDOWN":{}},`+
				startJSON+","+cachedUpdateJSON+","+healthCheckJSON+
				`,{"ACCEPT":{"msg_id":"t/2","priority":"c","expires_in":5}}`), `"msg_id":"t/2"`},
		{"endpoint list replaced", batchLine("1", startJSON+","+endpointListJSON+","+
			`{"SHEET":{"table":3,"lines":[{"executor":"e/2","availability":"Running"}]}},`+cachedUpdateJSON+","+jobJSON),
			`"TOUCH":{"executor":"e/2"}`},
		{"events after a shutdown", batchLine("1", `{"SHUTDOWN":{}},`+jobJSON), `{"turn":1,"parts":[]}`},
	} {
		got, err := serveString(t, c.in)
		if err != nil || !strings.Contains(got, c.want) {
			t.Errorf("%s: got reply %q and error %v, want a reply that contains %s", c.name, got, err, c.want)
		}
		if c.name == "restart in a batch" && strings.Contains(got, "t/1") {
			t.Errorf("a job from before the shutdown is in the reply: %s", got)
		}
	}
}

func TestMalformedLineEndsServe(t *testing.T) {
	for _, in := range []string{"nonsense\n", `{"turn":1,"parts":[]}` + "\n", `{"clock":"x","turn":1}` + "\n",
		batchLine("2", `{"POWER_ON":{"salt":1,"options":{}}}`), batchLine("2", startJSON+`,{"SETTLED":{"reason":"odd"}}`),
		batchLine("2", startJSON+`,{"PEERS_KNOWN":{"kind":"FULL","table":9}}`)} {
		out, err := serveString(t, in)
		if err == nil || out != "" || !strings.Contains(err.Error(), "line 1") {
			t.Errorf("line %q: got reply %q and error %v, want no reply and an error for line 1", in, out, err)
		}
	}
}

func TestPanicBecomesFault(t *testing.T) {
	a := newAdapter()
	a.balancers["node/0"] = new(balance.Balancer) // not set up, so that handling a job panics
	out, err := a.handleBatch([]byte(batchLine("3", jobJSON)))
	if err != nil || !strings.Contains(string(out), `"GIVE_IN":{"body_text":`) {
		t.Errorf("got reply %s and error %v, want a fault", out, err)
	}
}

func FuzzServe(f *testing.F) {
	f.Add(batchLine("1", startJSON+","+endpointListJSON+","+cachedUpdateJSON+","+jobJSON+","+healthCheckJSON))
	f.Add("{")
	f.Fuzz(func(t *testing.T, in string) {
		var out bytes.Buffer
		if err := serve(strings.NewReader(in), &out); err == nil && strings.Contains(out.String(), "GIVE_IN") {
			t.Errorf("got a fault for input %q: %s", in, out.String())
		}
	})
}
