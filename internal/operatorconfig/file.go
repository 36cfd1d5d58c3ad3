// Package operatorconfig reads the operator's file, which is written in HCL. Errors
// name the file, line and key. Without a file, all features that it configures are off.
package operatorconfig

import (
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"

	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/hclfile"
	"example.org/bellstream/internal/logging"
	"example.org/bellstream/internal/settings"
)

const maxRegionBytes = 64

// File is a decoded operator's file. A nil block is absent, and its feature is off.
type File struct {
	Log    *Log    `hcl:"log,block"`
	Admin  *Admin  `hcl:"admin,block"`
	Gossip *Gossip `hcl:"peers,block"`
	Usage  *Usage  `hcl:"counts,block"`
	// Deferred lets jobs depend on others, or on a start time.
	Deferred *Deferred `hcl:"waiting,block"`

	// Ageing guarantees classes a maximum wait.
	Ageing []*Ageing `hcl:"ageing,block"`

	// Config proposes a version of the configuration that instances agree on.
	Config *config.Block `hcl:"rules,block"`

	// Lease makes instances agree on a configuration and act on it under leases.
	Lease *Lease `hcl:"accord,block"`

	// Shards assigns each tenant's queue to one instance.
	Shards *Shards `hcl:"shards,block"`

	// Migration migrates services between clusters.
	Migration *Migration `hcl:"clusters,block"`

	text *hclfile.Text
}

// Log configures level and format of the log.
type Log struct {
	Level  string `hcl:"level,optional"`
	Format string `hcl:"format,optional"`
}

// Admin configures the listener for operators.
type Admin struct {
	Listen string `hcl:"listen"`
}

// Gossip configures how instances of a cluster find each other.
type Gossip struct {
	Name      string   `hcl:"name,optional"`      // default: the instance's name
	Region    string   `hcl:"region,optional"`    // quota owners are spread over regions
	Listen    string   `hcl:"listen"`             // for UDP and TCP
	Advertise string   `hcl:"advertise,optional"` // address that other instances dial; default: listen
	Join      []string `hcl:"join,optional"`
	KeyFile   string   `hcl:"key_file,optional"`
	Period    string   `hcl:"period,optional"`
	Cluster   string   `hcl:"cluster"`
}

// Usage configures the exchange of usage counters.
type Usage struct {
	Owners     *int     `hcl:"homes,optional"` // 0: all instances, as in builds without owners
	Staleness  string   `hcl:"staleness,optional"`
	ShareFloor *float64 `hcl:"floor,optional"`
	MaxError   *float64 `hcl:"max_error,optional"`
	Retention  string   `hcl:"forget,optional"`
	Delay      string   `hcl:"delay,optional"`
	Loss       *float64 `hcl:"loss,optional"`
	Instances  int      `hcl:"instances,optional"`
	Exchange   *bool    `hcl:"exchange,optional"`
}

// Deferred configures the limits of deferred jobs.
type Deferred struct {
	Jobs               *int   `hcl:"jobs,optional"`
	Bytes              *int64 `hcl:"bytes,optional"`
	Parents            *int   `hcl:"parents,optional"`
	Depth              *int   `hcl:"depth,optional"`
	UnknownParents     *int   `hcl:"strangers,optional"`
	UnknownParentGrace string `hcl:"grace,optional"`
	Retention          string `hcl:"remember,optional"`
	RetainedOutcomes   *int   `hcl:"ended,optional"`
}

// Ageing guarantees that jobs of some classes are either sent to a worker within a
// maximum wait, or rejected on arrival.
type Ageing struct {
	MaxWait string   `hcl:"max_wait"`
	Classes []string `hcl:"classes"`
}

// Proposal returns the proposal in the rules block, or nil if there is none.
func (f *File) Proposal() *config.Proposal {
	if f.Config == nil {
		return nil
	}
	return f.Config.Proposal(f.text)
}

// Load reads, decodes and validates a file. All errors of its content are joined, one per line.
func Load(path string) (*File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	return Parse(path, raw)
}

// Parse decodes the text of a file and validates it without other configuration. If the text can be decoded, the
// file is returned even with an error.
func Parse(path string, raw []byte) (*File, error) {
	f := &File{}
	text, err := hclfile.Decode(path, raw, f)
	if err != nil {
		return nil, err
	}
	f.text = text
	return f, f.check()
}

// ErrorAt adds the location of a key of a block to an error: file, line and block.key.
func (f *File) ErrorAt(block, key string, err error) error { return f.text.ErrorAt(block, 0, key, err) }

// collector collects the errors of a file in the order in which they are found.
type collector struct {
	file *File
	errs []error
}

// add adds an error at a key of a block, unless it is nil.
func (c *collector) add(block, key string, err error) {
	if err != nil {
		c.errs = append(c.errs, c.file.ErrorAt(block, key, err))
	}
}

// addLocated adds an error that already names file, line and key, unless it is nil.
func (c *collector) addLocated(err error) {
	if err != nil {
		c.errs = append(c.errs, err)
	}
}

func (f *File) check() error {
	c := &collector{file: f}
	f.checkListeners(c)
	f.checkGossip(c)
	f.checkLease(c)
	f.checkShards(c)
	f.checkMigration(c)
	_, err := f.LeaseSettings()
	c.addLocated(err)
	if f.Usage != nil && f.Gossip == nil {
		c.add("counts", "", errors.New("has no effect without a peers block"))
	}
	_, err = f.DeferredLimits()
	c.addLocated(err)
	_, err = f.MaxWaits(nil)
	c.addLocated(err)
	if p := f.Proposal(); p != nil {
		c.addLocated(p.Validate())
	}
	c.addLocated(f.checkQuota())
	return errors.Join(c.errs...)
}

func (f *File) checkListeners(c *collector) {
	if l := f.Log; l != nil {
		c.add("log", "level", oneOf(l.Level, logging.Levels))
		c.add("log", "format", oneOf(l.Format, logging.Formats))
	}
	if f.Admin != nil {
		c.add("admin", "listen", checkAddress(f.Admin.Listen, false))
	}
}

func (f *File) checkGossip(c *collector) {
	g := f.Gossip
	if g == nil {
		return
	}
	c.add("peers", "listen", checkAddress(g.Listen, false))
	if len(g.Region) > maxRegionBytes {
		c.add("peers", "region", errors.New("is longer than 64 bytes"))
	}
	if g.Advertise != "" {
		c.add("peers", "advertise", checkAddress(g.Advertise, true))
	}
	for _, address := range g.Join {
		c.add("peers", "join", checkAddress(address, true))
	}
	if g.Cluster == "" {
		c.add("peers", "cluster", errors.New("must not be empty: it tells instances of other clusters apart"))
	}
	if g.KeyFile != "" {
		_, err := Keys(g.KeyFile)
		c.add("peers", "key_file", err)
	}
}

func oneOf(s string, list []string) error {
	if s == "" || slices.Contains(list, s) {
		return nil
	}
	return fmt.Errorf("%q is not one of %s", s, strings.Join(list, ", "))
}

func checkAddress(s string, needsPort bool) error {
	host, p, err := net.SplitHostPort(s)
	switch {
	case err != nil:
		return fmt.Errorf("%q is not host:port", s)
	case net.ParseIP(host) == nil:
		return fmt.Errorf("%q: %q is not an IP address; names are not looked up", s, host)
	case needsPort && (p == "" || p == "0"):
		return fmt.Errorf("%q has no port", s)
	}
	return nil
}

// Warnings returns a warning for each block of the file that has no effect.
func (f *File) Warnings() (list []string) {
	if f.Config != nil && f.Lease == nil {
		err := errors.New("has no effect without an accord block (docs/operators/accord.md): " +
			"the platform's settings apply")
		list = append(list, f.ErrorAt("rules", "", err).Error())
	}
	return list
}

// Warnings returns a warning if the settings in the platform's file don't let the dispatcher know how many slots
// of a worker are free.
func Warnings(s *settings.Settings) (list []string) {
	freeSlots := slices.Contains(s.Config().ReportFields, "free_slots")
	if s.LoadReports.Mode != "silent" && s.LoadReports.Mode != "" && !freeSlots {
		list = append(list, "settings: no report field gives free slots (family_info.report_x0 or report_x1): "+
			"each worker is given one job at a time until that job has started, so most of the fleet may be idle")
	}
	return list
}
