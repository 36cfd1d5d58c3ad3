package fault

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"example.org/bellstream/internal/hclfile"
)

// The networks of an endpoint.
const (
	networkTCP = "tcp"
	networkUDP = "udp"
)

// Endpoint is a listening address and the target that clients reach through it.
type Endpoint struct {
	Name    string `hcl:"name,label" json:"name"`
	Listen  string `hcl:"listen" json:"listen"`
	Target  string `hcl:"target" json:"target"`
	Network string `hcl:"network,optional" json:"network"` // tcp or udp
}

// Config is the content of the proxy's configuration file.
type Config struct {
	Seed      uint64
	Admin     string // address of the admin API; empty: it is not served
	Log       string // path of the log file; empty: standard error
	Endpoints []Endpoint
	Rules     []Rule
}

// configBody is Config as HCL.
type configBody struct {
	Seed      uint64      `hcl:"seed,optional"`
	Admin     string      `hcl:"admin,optional"`
	Log       string      `hcl:"log,optional"`
	Endpoints []Endpoint  `hcl:"door,block"`
	Faults    []*ruleBody `hcl:"fault,block"`
}

// ruleBody is a rule as it is encoded in HCL and in the JSON of a command.
type ruleBody struct {
	Kind      string   `hcl:"kind,label" json:"kind"`
	Endpoints []string `hcl:"doors,optional" json:"doors"`
	Side      string   `hcl:"side,optional" json:"side"`
	At        string   `hcl:"at,optional" json:"at"`
	For       string   `hcl:"for,optional" json:"for"`
	Part      float64  `hcl:"part,optional" json:"part"`
	Delay     string   `hcl:"delay,optional" json:"delay"`
	Jitter    string   `hcl:"jitter,optional" json:"jitter"`
	Rate      float64  `hcl:"rate,optional" json:"rate"`
	Loss      float64  `hcl:"loss,optional" json:"loss"`
	Byte      int64    `hcl:"byte,optional" json:"byte"`
	After     string   `hcl:"after,optional" json:"after"`
	Nth       int      `hcl:"nth,optional" json:"nth"`
	Text      string   `hcl:"text,optional" json:"text"`
}

// rule converts the body; durations become seconds.
func (b *ruleBody) rule() (Rule, error) {
	rule := Rule{
		Kind:      Kind(b.Kind),
		Endpoints: b.Endpoints,
		Side:      Side(b.Side),
		Fraction:  b.Part,
		Rate:      b.Rate,
		Loss:      b.Loss,
		Byte:      b.Byte,
		After:     b.After,
		Nth:       b.Nth,
		Text:      b.Text,
	}
	for _, duration := range []struct {
		key     string
		text    string
		seconds *float64
	}{
		{"at", b.At, &rule.At},
		{"for", b.For, &rule.Duration},
		{"delay", b.Delay, &rule.Delay},
		{"jitter", b.Jitter, &rule.Jitter},
	} {
		if duration.text == "" {
			continue
		}
		parsed, err := time.ParseDuration(duration.text)
		if err != nil || parsed < 0 {
			return rule, ruleErrorf(duration.key, "%q is not a duration such as \"1.5s\"", duration.text)
		}
		*duration.seconds = parsed.Seconds()
	}
	return rule, nil
}

// Parse parses the proxy's configuration file. It returns all errors that it
// finds, each with the file, the line and the key.
func Parse(name string, raw []byte) (*Config, error) {
	var body configBody
	text, err := hclfile.Decode(name, raw, &body)
	if err != nil {
		return nil, err
	}
	p := &configParser{
		body:     &body,
		errorAt:  text.ErrorAt,
		networks: map[string]string{},
		config: Config{
			Seed:      body.Seed,
			Admin:     body.Admin,
			Log:       body.Log,
			Endpoints: body.Endpoints,
		},
	}
	p.checkAdmin()
	p.checkEndpoints()
	p.readRules()
	if len(p.errs) > 0 {
		return nil, errors.Join(p.errs...)
	}
	return &p.config, nil
}

// configParser checks a file's content and collects its errors.
type configParser struct {
	body     *configBody
	errorAt  func(block string, nth int, key string, err error) error
	networks map[string]string // by endpoint
	config   Config
	errs     []error
}

func (p *configParser) fail(block string, nth int, key string, err error) {
	p.errs = append(p.errs, p.errorAt(block, nth, key, err))
}

func (p *configParser) checkAdmin() {
	if p.config.Admin == "" {
		return
	}
	if _, _, err := net.SplitHostPort(p.config.Admin); err != nil {
		p.fail("", 0, "admin", err)
	}
}

func (p *configParser) checkEndpoints() {
	if len(p.config.Endpoints) == 0 {
		p.fail("", 0, "door", errors.New("at least one is required"))
	}
	for i := range p.config.Endpoints {
		p.checkEndpoint(i, &p.config.Endpoints[i])
	}
}

func (p *configParser) checkEndpoint(i int, e *Endpoint) {
	if e.Network == "" {
		e.Network = networkTCP
	}
	if !slices.Contains([]string{networkTCP, networkUDP}, e.Network) {
		p.fail("door", i, "network", fmt.Errorf("%q is none of tcp, udp", e.Network))
	}
	if p.networks[e.Name] != "" {
		p.fail("door", i, "name", fmt.Errorf("%q is defined twice", e.Name))
	}
	p.networks[e.Name] = e.Network
	if _, _, err := net.SplitHostPort(e.Listen); err != nil {
		p.fail("door", i, "listen", err)
	}
	if _, _, err := net.SplitHostPort(e.Target); err != nil {
		p.fail("door", i, "target", err)
	}
}

func (p *configParser) readRules() {
	for i, body := range p.body.Faults {
		rule, err := body.rule()
		if err == nil {
			err = rule.Validate(p.networks)
		}
		if invalid, ok := errors.AsType[*RuleError](err); ok {
			p.fail("fault", i, invalid.Key, errors.New(invalid.Reason))
		}
		p.config.Rules = append(p.config.Rules, rule)
	}
}

// ParseCommand parses a rule from JSON and validates it for the endpoints. The keys
// are those of a fault block in the file, and kind.
func ParseCommand(raw []byte, endpoints []Endpoint) (Rule, error) {
	var body ruleBody
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return Rule{}, fmt.Errorf("fault: %w", err)
	}
	rule, err := body.rule()
	if err != nil {
		return rule, err
	}
	networks := map[string]string{}
	for _, e := range endpoints {
		networks[e.Name] = e.Network
	}
	return rule, rule.Validate(networks)
}
