package fault

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const threeResponses = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
	"5\r\nfirst\r\n6;x=y\r\nsecond\r\n0\r\n\r\n" +
	"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc" +
	"HTTP/1.1 204 No Content\r\n\r\n"

// runThroughRule passes a text in pieces through a stream with one rule, or with no
// rule if r is nil. It returns the data that would have been written without waiting for
// a silence to end, and whether the rule closed the connection or its direction.
func runThroughRule(r *Rule, text string, cuts ...int) (out string, closed bool) {
	p := &Plan{Seed: 7}
	if r != nil {
		p.Add(*r)
	}
	stream := NewStream(p, "d", Answer, 1)
	ops := stream.Begin(0)
	from := 0
	for _, to := range append(cuts, len(text)) {
		ops = append(ops, stream.Process(0, []byte(text[from:to]))...)
		from = to
	}
	for _, op := range append(ops, stream.End(0)...) {
		switch {
		case op.Kind == Write && op.Hold == nil:
			out += string(op.Data)
		case op.Kind != Write && op.Rule > 0:
			closed = true
		}
	}
	return out, closed
}

// A fault applies exactly at the point that its rule names, no matter into which
// pieces the received stream is divided.
func TestRulesApplyAtPointsInStream(t *testing.T) {
	at := func(after string) int { return strings.Index(threeResponses, after) + len(after) }
	for _, c := range []struct {
		r    Rule
		want int // bytes forwarded before the fault applies; below 0: it never does
	}{
		{Rule{After: Head}, at("chunked\r\n\r\n")},
		{Rule{After: Head, Nth: 2}, at("Length: 3\r\n\r\n")},
		{Rule{After: Chunk}, at("chunked\r\n\r\n")},
		{Rule{After: Chunk, Nth: 2}, at("first\r\n")},
		{Rule{After: Chunk, Nth: 3}, at("second\r\n")},
		{Rule{After: Data}, at("5\r\n")},
		{Rule{After: Data, Nth: 2}, at("6;x=y\r\n")},
		{Rule{After: Message}, at("0\r\n\r\n")},
		{Rule{After: Message, Nth: 2}, at("abc")},
		{Rule{After: Message, Nth: 3}, len(threeResponses)},
		{Rule{After: Message, Nth: 4}, -1},
		{Rule{After: Text, Text: "sec"}, at("sec")},
		{Rule{After: Text, Text: "HTTP/1.1 20", Nth: 3}, at("abcHTTP/1.1 20")},
		{Rule{After: Text, Text: "\r\n\r\n", Nth: 2}, at("0\r\n\r\n")}, // a text whose prefix is also its suffix
		{Rule{Byte: 9}, 9},
		{Rule{}, 0},
	} {
		for _, kind := range []Kind{Cut, Reset, HalfClose, Silence, Garble} {
			r := c.r
			r.Kind = kind
			if err := r.Validate(map[string]string{"d": "tcp"}); err != nil {
				t.Fatal(err)
			}
			rapid.Check(t, func(t *rapid.T) { checkPoint(t, r, c.want) })
		}
	}
}

// checkPoint passes threeResponses in random pieces to a stream with one rule, which
// must apply after want bytes; below 0: never.
func checkPoint(t *rapid.T, r Rule, want int) {
	first := rapid.IntRange(0, len(threeResponses)).Draw(t, "cut")
	second := rapid.IntRange(first, len(threeResponses)).Draw(t, "next")
	out, closed := runThroughRule(&r, threeResponses, first, second)
	switch {
	case want < 0 || r.Kind == Garble && want == len(threeResponses):
		if out != threeResponses || closed {
			t.Fatalf("%s was applied, want it not applied: %+v", r.Kind, r)
		}
	case r.Kind == Garble:
		changed := 0
		for i := range threeResponses {
			if out[i] != threeResponses[i] {
				changed++
			}
		}
		if len(out) != len(threeResponses) || changed != 1 || out[want] == threeResponses[want] {
			t.Fatalf("%+v: got %d changed bytes, want 1 at the rule's point; output %q", r, changed, out)
		}
	case out != threeResponses[:want] || closed == (r.Kind == Silence):
		t.Fatalf("%s, rule %+v: closed %v after output %q, want output %q", r.Kind, r, closed, out, threeResponses[:want])
	}
}

// For arbitrary input a stream without rules forwards all data unchanged, and one with
// a Garble rule keeps the length and changes at most one byte.
func FuzzStream(f *testing.F) {
	f.Add([]byte(threeResponses), uint16(3))
	f.Add([]byte("POST / HTTP/1.1\r\nContent-Length: x\r\n\r\nzz"), uint16(9))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n"), uint16(40))
	f.Fuzz(func(t *testing.T, raw []byte, cut uint16) {
		at := int(cut) % (len(raw) + 1)
		if out, closed := runThroughRule(nil, string(raw), at); out != string(raw) || closed {
			t.Fatalf("without rules: got input %q, output %q", raw, out)
		}
		out, _ := runThroughRule(&Rule{Kind: Garble, After: Data, Nth: 2}, string(raw), at)
		if n := 0; len(out) == len(raw) {
			for i := range raw {
				if out[i] != raw[i] {
					n++
				}
			}
			if n > 1 {
				t.Fatalf("got %d changed bytes, want at most 1", n)
			}
		} else {
			t.Fatalf("input of %d bytes: got output of %d bytes", len(raw), len(out))
		}
	})
}

// Jitter does not reorder writes, a rate rule spaces them, and a silence holds only the
// data that are received before the silence ends.
func TestOperationTimes(t *testing.T) {
	p := &Plan{Seed: 1}
	p.Add(Rule{Kind: Delay, Delay: 1, Jitter: 2})
	stream := NewStream(p, "d", Request, 1)
	last := 0.0
	for i := range 200 {
		now := float64(i) / 100
		for _, op := range stream.Process(now, []byte("x")) {
			if op.At < last || op.At < now+1 || op.At > now+3 {
				t.Fatalf("data received at %v: write at %v, previous write at %v", now, op.At, last)
			}
			last = op.At
		}
	}
	p = &Plan{}
	id := p.Add(Rule{Kind: Rate, Rate: 1000})
	stream = NewStream(p, "d", Answer, 1)
	stream.Process(5, make([]byte, 500))
	if ops := stream.Process(5.1, make([]byte, 500)); ops[0].At != 6 {
		t.Errorf("1,000 bytes at 1,000 bytes/s from 5 s on: last write at %v, want 6", ops[0].At)
	}
	p.Remove(6, id)
	if ops := stream.Process(7, []byte("x")); ops[0].At != 7 {
		t.Errorf("after the rate rule was removed: write at %v, want 7", ops[0].At)
	}
	id = p.Add(Rule{Kind: Silence, At: 8, Duration: 2})
	if ops := stream.Process(9, []byte("x")); ops[0].Hold == nil || ops[0].Hold.ID != id || ops[0].Hold.Active(10) {
		t.Errorf("during the silence: got %+v, want a write that waits for its end at 10 s", ops)
	}
	if ops := stream.Process(10, []byte("x")); ops[0].Hold != nil {
		t.Errorf("after the silence: got %+v, want a write that does not wait", ops)
	}
	if next := p.NextChange(8.5); next != 10 {
		t.Errorf("next change: got %v, want 10", next)
	}
}

// Fraction selects about half of the connections and Loss about half of the datagrams.
// The seed determines which ones.
func TestRandomSelection(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		p := &Plan{Seed: seed}
		p.Add(Rule{Kind: Cut, Fraction: 0.5})
		p.Add(Rule{Kind: Loss, Loss: 0.5, Side: Request})
		selected, lost := 0, 0
		for n := range uint64(2000) {
			if p.Selects(p.rules[0], "d", n) {
				selected++
			}
			if _, isLost := p.Datagram(0, "d", Request, n); isLost {
				lost++
			}
			if _, isLost := p.Datagram(0, "d", Answer, n); isLost {
				t.Fatal("a rule for requests lost an answer")
			}
		}
		if selected < 900 || selected > 1100 || lost < 900 || lost > 1100 {
			t.Errorf("seed %d: got %d of 2,000 connections selected, %d datagrams lost, want 900 to 1,100 of each",
				seed, selected, lost)
		}
	}
}

func TestInvalidConfigs(t *testing.T) {
	const doors = "door \"w\" {\n  listen = \"127.0.0.1:0\"\n  target = \"127.0.0.1:1\"\n}\ndoor \"u\" {\n  listen = \"127.0.0.1:0\"\n  target = \"127.0.0.1:1\"\n  network = \"udp\"\n}\n"
	for text, want := range map[string]string{
		"":                             "f:1: door: at least one is required",
		"seed = \"x\"":                 "f:1: ",
		"nonsense = 1\n" + doors:       "f:1: Unsupported argument",
		doors + "fault \"explode\" {}": `f:10: fault.kind: "explode" is none of`,
		doors + "fault \"cut\" {\n  doors = [\"x\"]\n}": `f:11: fault.doors: there is no door "x"`,
		doors +
			"fault \"cut\" {\n  doors = [\"u\"]\n}": "f:11: fault.doors: cut can't be applied to door \"u\"",
		doors + "fault \"loss\" {\n  doors = [\"w\"]\n  loss = 0.1\n}":       "f:11: fault.doors: loss can't",
		doors + "fault \"loss\" {\n  doors = [\"u\"]\n  loss = 2\n}":         "f:12: fault.loss: 2 is not",
		doors + "fault \"delay\" {\n  at = \"soon\"\n}":                      "f:11: fault.at: \"soon\"",
		doors + "fault \"delay\" {}":                                         "f:10: fault.delay: missing",
		doors + "fault \"cut\" {\n  doors = [\"w\"]\n  after = \"lunch\"\n}": "f:12: fault.after: \"lunch\" is none of",
		doors + "fault \"cut\" {\n  doors = [\"w\"]\n  after = \"text\"\n}":  "f:10: fault.text: is required with",
		doors +
			"fault \"delay\" {\n  delay = \"1s\"\n  byte = 4\n}": "f:10: fault.after: delay does not apply at a point",
		doors + "fault \"cut\" {\n  doors = [\"w\"]\n  side = \"left\"\n}": "f:12: fault.side: \"left\"",
		strings.Replace(doors, "\"u\"", "\"w\"", 1):                        "f:5: door.name: \"w\" is defined twice",
		strings.Replace(doors, "udp", "ip", 1):                             "f:8: door.network: \"ip\"",
		strings.Replace(doors, "127.0.0.1:1", "there", 1):                  "f:3: door.target: ",
		"admin = \"x\"\n" + doors:                                          "f:1: admin: ",
	} {
		_, err := Parse("f", []byte(text))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s\ngot error %v, want one with %s", text, err, want)
		}
	}
	f, err := Parse("f", []byte("seed = 3\n"+doors+"fault \"silence\" {\n  doors = [\"w\"]\n  at = \"5s\"\n  for = \"20s\"\n  side = \"answer\"\n}\n"))
	if err != nil || len(f.Rules) != 1 || f.Rules[0].At != 5 || f.Rules[0].End() != 25 || f.Endpoints[0].Network != "tcp" {
		t.Fatalf("valid file: got %+v, error %v", f, err)
	}
	for raw, want := range map[string]string{`{"kind":"cut","doors":["x"]}`: "no door", `{"kind":"cut","wat":1}`: "unknown field", `{"kind":"delay","delay":"-1s"}`: "not a duration"} {
		if _, err := ParseCommand([]byte(raw), f.Endpoints); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got error %v, want one with %s", raw, err, want)
		}
	}
	if r, err := ParseCommand([]byte(`{"kind":"garble","doors":["w"],"for":"2s","after":"data","nth":2}`), f.Endpoints); err != nil || r.Duration != 2 || r.Nth != 2 {
		t.Errorf("valid command: got %+v, error %v", r, err)
	}
}

func BenchmarkProcess(b *testing.B) {
	for _, rules := range []int{0, 1, 10} {
		b.Run(fmt.Sprint(rules, "rules"), func(b *testing.B) {
			p := &Plan{}
			for range rules {
				p.Add(Rule{Kind: Garble, After: Text, Text: "never"})
			}
			stream := NewStream(p, "d", Answer, 1)
			piece := bytes.Repeat([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"), 100)
			b.SetBytes(int64(len(piece)))
			for range b.N {
				stream.Process(0, piece)
			}
		})
	}
}
