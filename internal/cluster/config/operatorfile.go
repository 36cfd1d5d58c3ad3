package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/hclfile"
	"example.org/bellstream/internal/settings"
)

// Block is the rules block of an operator's file. docs/operators/accord.md
// describes its keys.
type Block struct {
	BaseVersion       uint64           `hcl:"based_on"`
	MaxAttempts       *int             `hcl:"attempts,optional"`
	CordonedWorkers   []string         `hcl:"out,optional"`
	ShardInstances    []string         `hcl:"instances,optional"`
	EndpointListEpoch uint64           `hcl:"list_epoch,optional"`
	Tenants           []TenantBlock    `hcl:"tenant,block"`
	Classes           []ClassBlock     `hcl:"class,block"`
	Voters            []VoterBlock     `hcl:"voter,block"`
	Clusters          []ClusterBlock   `hcl:"cluster,block"`
	Placements        []PlacementBlock `hcl:"placement,block"`
}

// TenantBlock is a tenant of the rules block.
type TenantBlock struct {
	Name        string   `hcl:"name,label"`
	Reservation *float64 `hcl:"reservation,optional"`
	Weight      *float64 `hcl:"weight,optional"`
}

// ClassBlock is a class of the rules block.
type ClassBlock struct {
	Name               string   `hcl:"name,label"`
	LatencyObjective   *string  `hcl:"aim,optional"`
	ObjectiveStretch   *float64 `hcl:"stretch,optional"`
	Deadline           *string  `hcl:"deadline,optional"`
	PriorityWeight     *float64 `hcl:"worth,optional"`
	LateWeightFraction *float64 `hcl:"late_worth,optional"`
	Idempotence        string   `hcl:"effect,optional"`
	DedupScope         string   `hcl:"scope,optional"`
	DedupWindow        *string  `hcl:"window,optional"`
}

// VoterBlock is a voter of the rules block.
type VoterBlock struct {
	Name    string `hcl:"name,label"`
	Address string `hcl:"address"`
}

// ClusterBlock is a cluster of the rules block.
type ClusterBlock struct {
	Name     string  `hcl:"name,label"`
	Capacity float64 `hcl:"capacity"`
}

// PlacementBlock is a placement of the rules block.
type PlacementBlock struct {
	Service      string `hcl:"service,label"`
	Cluster      string `hcl:"cluster"`
	ForceRelease bool   `hcl:"release,optional"`
	Origin       string `hcl:"origin,optional"`
}

// Proposal is the content of a rules block, with its errors and the lines of its keys.
type Proposal struct {
	table    Table // without version, proposer, shard owners and capacity ledger
	errors   ValidationErrors
	file     string
	keyLines map[string]int
}

// Proposal converts the block of a file. [Proposal.TableOn] returns the errors.
func (b *Block) Proposal(text *hclfile.Text) *Proposal {
	p := &Proposal{table: Table{
		BaseVersion:       b.BaseVersion,
		CordonedWorkers:   b.CordonedWorkers,
		ShardInstances:    b.ShardInstances,
		EndpointListEpoch: b.EndpointListEpoch,
	}}
	p.file, p.keyLines = text.Lines("rules")
	p.readAttempts(b.MaxAttempts)
	for _, tenant := range b.Tenants {
		p.table.Tenants = append(p.table.Tenants, Tenant(tenant))
	}
	for _, class := range b.Classes {
		p.table.Classes = append(p.table.Classes, p.readClass(class))
	}
	for _, voter := range b.Voters {
		p.table.Voters = append(p.table.Voters, Voter(voter))
	}
	for _, cluster := range b.Clusters {
		p.table.Clusters = append(p.table.Clusters, Cluster(cluster))
	}
	for _, placement := range b.Placements {
		p.table.Placements = append(p.table.Placements, Placement(placement))
	}
	return p
}

func (p *Proposal) reject(key, format string, args ...any) {
	p.errors = append(p.errors, ValidationError{Key: key, Message: fmt.Sprintf(format, args...)})
}

func (p *Proposal) readAttempts(attempts *int) {
	if attempts == nil {
		return
	}
	p.table.MaxAttempts = *attempts
	if *attempts == 0 {
		p.reject("attempts", "0 is not from 1 to %d; leave it out to use the platform's limit", MaxAttempts)
	}
}

func (p *Proposal) readClass(b ClassBlock) Class {
	key := fmt.Sprintf("class %q", b.Name)
	class := Class{
		Name:               b.Name,
		LatencyObjective:   p.readDuration(key+".aim", b.LatencyObjective),
		ObjectiveStretch:   b.ObjectiveStretch,
		Deadline:           p.readDuration(key+".deadline", b.Deadline),
		PriorityWeight:     b.PriorityWeight,
		LateWeightFraction: b.LateWeightFraction,
		Idempotence:        balance.Idempotence(b.Idempotence),
		DedupScope:         balance.DedupScope(b.DedupScope),
	}
	if window := p.readDuration(key+".window", b.DedupWindow); window != nil {
		class.DedupWindow = *window
	}
	return class
}

// readDuration returns a duration in seconds, or nil if it is not set or invalid.
func (p *Proposal) readDuration(key string, text *string) *float64 {
	if text == nil {
		return nil
	}
	duration, err := time.ParseDuration(*text)
	if err != nil {
		p.reject(key, "%q is no duration such as \"250ms\" or \"8s\"", *text)
		return nil
	}
	seconds := duration.Seconds()
	return &seconds
}

// TableOn returns the table to propose after the newest version, which is the last
// of history; see [CheckBase]. Shard owners and the capacity ledger are those of the
// newest version, and so are voters and the epoch of endpoint lists if the file has
// none. If the file changes nothing, TableOn returns the newest version itself. The
// error is an *OutdatedError, or ValidationErrors with the lines in the file.
func (p *Proposal) TableOn(history []*Table, proposer string) (*Table, error) {
	newest := history[len(history)-1]
	t := p.table.Sorted()
	t.Version = newest.Version + 1
	t.ProposedBy = proposer
	t.ShardOwners = newest.ShardOwners
	t.CapacityLedger = newest.CapacityLedger
	t.LedgerEntries = newest.LedgerEntries
	if len(t.Voters) == 0 {
		t.Voters = newest.Voters
	}
	if t.EndpointListEpoch == 0 {
		t.EndpointListEpoch = newest.EndpointListEpoch
	}
	if p.errors == nil && Equivalent(t, newest) {
		return newest, nil
	}
	if outdated := CheckBase(t.BaseVersion, history); outdated != nil {
		return nil, outdated
	}
	t.BaseVersion = newest.Version
	if errs := p.validate(newest, t); errs != nil {
		return nil, p.locate(errs)
	}
	return t, nil
}

// validate returns the errors of the block and those of the table t after newest.
func (p *Proposal) validate(newest, t *Table) ValidationErrors {
	errs := slices.Clone(p.errors)
	if invalid, ok := errors.AsType[ValidationErrors](Validate(newest, t)); ok {
		errs = append(errs, invalid...)
	}
	return errs
}

// Validate reports the errors that do not depend on the version that the proposal is based on.
func (p *Proposal) Validate() error {
	_, err := p.TableOn([]*Table{{Version: p.table.BaseVersion}}, "")
	return err
}

// ApplyTo returns the platform's settings with the proposal applied, where all
// reservations of placed services are usable. It returns ValidationErrors for
// entries that do not fit the settings.
func (p *Proposal) ApplyTo(platform *settings.Settings) (*settings.Settings, error) {
	var errs ValidationErrors
	for _, class := range p.table.Classes {
		errs = append(errs, checkPlatformClass(class, platform)...)
	}
	usable := map[string]float64{}
	for _, tenant := range p.table.Tenants {
		if tenant.Reservation != nil {
			usable[tenant.Name] = *tenant.Reservation
		}
	}
	s := p.table.Sorted().Override(platform, usable)
	if err := s.Config().Check(); err != nil {
		errs = append(errs, ValidationError{Message: "with the platform's configuration: " + err.Error()})
	}
	if errs != nil {
		return nil, p.locate(errs)
	}
	return s, nil
}

func checkPlatformClass(class Class, platform *settings.Settings) ValidationErrors {
	var errs ValidationErrors
	known := false
	for _, platformClass := range platform.Classes {
		if platformClass.Name != class.Name {
			continue
		}
		known = true
		if class.Idempotence == balance.IdempotentWithKey &&
			platformClass.Idempotence != string(balance.IdempotentWithKey) {
			errs = append(errs, ValidationError{
				Key: fmt.Sprintf("class %q.effect", class.Name),
				Message: "the platform's class is not keyed, so clients send no Idempotency-Key " +
					"and no job would be retried: write \"unsafe\", or make the platform's class keyed",
			})
		}
	}
	if !known {
		errs = append(errs, ValidationError{
			Key:     fmt.Sprintf("class %q", class.Name),
			Message: "the platform's configuration has no such class: leave it out",
		})
	}
	return errs
}

// locate returns the errors with the file and the lines of their keys.
func (p *Proposal) locate(errs ValidationErrors) ValidationErrors {
	located := make(ValidationErrors, len(errs))
	for i, err := range errs {
		err.File = p.file
		err.Line = p.line(err.Key)
		located[i] = err
	}
	return located
}

// line returns the line of a key, or that of the innermost enclosing block in the
// file.
func (p *Proposal) line(key string) int {
	for {
		line, found := p.keyLines[key]
		if found || key == "" {
			return line
		}
		key = parentKey(key)
	}
}

// parentKey returns the key without its last part, or "". Dots within quotes do not separate parts.
func parentKey(key string) string {
	dot := strings.LastIndexByte(key, '.')
	if dot > strings.LastIndexByte(key, '"') {
		return key[:dot]
	}
	return ""
}
