// Command bellstream-fault forwards connections and datagrams and injects faults into
// them, on schedule or on command. It exits with 2 if the command line is invalid and
// with 1 on other errors.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"example.org/bellstream/internal/lab/fault"
	"example.org/bellstream/internal/lab/faultproxy"
)

type cli struct {
	Run   runCmd   `cmd:"" help:"Open the doors of a file and play its faults until SIGTERM."`
	Check checkCmd `cmd:"" help:"Say what is wrong with a file."`
	Do    doCmd    `cmd:"" help:"Have a running tool play a fault, from now on."`
	End   endCmd   `cmd:"" help:"Take a fault back."`
	List  listCmd  `cmd:"" help:"List the faults of a running tool, and its doors."`
}

type runCmd struct {
	File string `arg:"" help:"Doors and faults, in HCL."`
}

type checkCmd struct {
	File string `arg:"" help:"Doors and faults, in HCL."`
}

type admin struct {
	Admin string `required:"" help:"Where the running tool takes commands." placeholder:"HOST:PORT"`
}

type doCmd struct {
	admin
	Kind   string   `arg:"" help:"delay, rate, loss, cut, reset, half_close, silence, garble, mute or refuse."`
	Doors  []string `name:"door" help:"Door that it strikes; default: all." placeholder:"NAME"`
	Side   string   `help:"request, answer or both." placeholder:"SIDE"`
	At     string   `help:"Begin so long from now." placeholder:"5s"`
	For    string   `help:"End by itself after that; default: until it is taken back." placeholder:"20s"`
	Part   float64  `help:"Part of the connections that it strikes." placeholder:"0.5"`
	Delay  string   `help:"Of delay." placeholder:"50ms"`
	Jitter string   `help:"Of delay: up to so much more." placeholder:"20ms"`
	Rate   float64  `help:"Of rate: bytes a second."`
	Loss   float64  `help:"Of loss: part of the datagrams." placeholder:"0.1"`
	Byte   int64    `help:"Strike once so many bytes have passed."`
	After  string   `help:"Strike at a point: head, message, chunk, data or text." placeholder:"POINT"`
	Nth    int      `help:"The nth of these points."`
	Text   string   `help:"Of the point text." placeholder:"WORDS"`
}

type endCmd struct {
	admin
	ID int `arg:"" help:"Number, as 'do' and 'list' say it."`
}

type listCmd struct{ admin }

func load(path string) (*fault.Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return fault.Parse(path, raw)
}

func (c *checkCmd) Run(out io.Writer) error {
	f, err := load(c.File)
	if err == nil {
		_, err = fmt.Fprintf(out, "%s: in order, %d doors, %d faults\n", c.File, len(f.Endpoints), len(f.Rules))
	}
	return err
}

func (c *runCmd) Run(out io.Writer) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	f, err := load(c.File)
	if err != nil {
		return err
	}
	log := io.Writer(os.Stderr)
	if f.Log != "" {
		file, err := os.OpenFile(f.Log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		defer file.Close()
		log = file
	}
	lines := json.NewEncoder(log)
	p, err := faultproxy.Start(faultproxy.Options{Seed: f.Seed, Endpoints: f.Endpoints, Rules: f.Rules, Log: func(e faultproxy.Entry) { lines.Encode(e) }})
	if err != nil {
		return err
	}
	defer p.Close()
	if f.Admin != "" {
		l, err := net.Listen("tcp", f.Admin)
		if err != nil {
			return err
		}
		server := p.Server()
		defer server.Close()
		go server.Serve(l)
		fmt.Fprintf(out, "admin listens on %s\n", l.Addr())
	}
	for _, d := range p.Endpoints() {
		fmt.Fprintf(out, "door %s listens on %s and leads to %s\n", d.Name, d.Listen, d.Target)
	}
	<-signals
	return nil
}

// call sends a request to the running proxy's admin API and returns the response body.
// A status of 300 or above is an error with the body as its text.
func (a *admin) call(method, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequest(method, "http://"+a.Admin+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err == nil && resp.StatusCode >= 300 {
		err = errors.New(strings.TrimSpace(string(raw)))
	}
	return raw, err
}

func (c *doCmd) Run(out io.Writer) error {
	body, err := json.Marshal(map[string]any{"kind": c.Kind, "doors": c.Doors, "side": c.Side, "at": c.At, "for": c.For, "part": c.Part,
		"delay": c.Delay, "jitter": c.Jitter, "rate": c.Rate, "loss": c.Loss, "byte": c.Byte, "after": c.After, "nth": c.Nth, "text": c.Text})
	if err != nil {
		return err
	}
	raw, err := c.call(http.MethodPost, "/faults", body)
	var created struct{ ID int }
	if err == nil {
		err = json.Unmarshal(raw, &created)
	}
	if err == nil {
		fmt.Fprintf(out, "fault %d\n", created.ID)
	}
	return err
}

func (c *endCmd) Run() error {
	_, err := c.call(http.MethodDelete, fmt.Sprintf("/faults/%d", c.ID), nil)
	return err
}

func (c *listCmd) Run(out io.Writer) error {
	for _, path := range []string{"/doors", "/faults"} {
		raw, err := c.call(http.MethodGet, path, nil)
		if err != nil {
			return err
		}
		var list []json.RawMessage
		if err := json.Unmarshal(raw, &list); err != nil {
			return err
		}
		for _, item := range list {
			fmt.Fprintf(out, "%s %s\n", strings.TrimSuffix(path[1:], "s"), item)
		}
	}
	return nil
}

func main() {
	var c cli
	k := kong.Must(&c, kong.Name("bellstream-fault"), kong.UsageOnError(), kong.BindTo(os.Stdout, (*io.Writer)(nil)),
		kong.Description("Stands between sockets and delays, cuts, resets, half-closes, silences or garbles what passes."))
	ctx, err := k.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "bellstream-fault:", err)
		os.Exit(2)
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "bellstream-fault:", err)
		os.Exit(1)
	}
}
