package experiments

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"

	"example.org/bellstream/internal/cluster/quota"
	"example.org/bellstream/internal/cluster/usage"
	"example.org/bellstream/internal/lab/capacity"
	"example.org/bellstream/internal/lab/hollow"
	"example.org/bellstream/internal/operatorconfig"
)

var hollowPart = CapacityPart{
	Name:  "hollow",
	About: "Membership, counts and loans, and agreement on real sockets: hollow instances, real ones among them, a zone's loss, a cut between regions.",
	Run:   runCapacityHollow,
}

// What hollow instances may differ in from real ones, and from virtual time.
const hollowNear = 0.15

// alike is within how many seconds all count the same, once a zone is gone, a cut is over and work has ended. What
// an instance told a few before it was killed goes on by membership's push/pull alone: of those who know, twice as many
// after each round of it, and two rounds more.
func (h hollowCluster) alike() float64 {
	return hollowPush * pushPullScale(h.n) * (math.Ceil(math.Log2(float64(h.n))) + 2)
}

// hollowPush is the time between two exchanges of all that is known, with one other, in a small cluster, in s.
const hollowPush = 5.0

// hollowCluster is a cluster to be run: hollow instances, some real ones among them, and real ones beside it that are
// in no cluster, so that what the others cost more can be told.
type hollowCluster struct {
	n, real, plain int
	load           *capacity.Load
	peers, accord  bool    // what the operator's file switches on
	seats          int     // shards; 0: none. Hollow seats know no workers, so nothing may come in then
	period         float64 // s of a round of the exchange; 0: the file's default
	hosts          int     // processes that the hollow ones share
	stand          bool    // in the places of the real ones stand hollow ones too, each alone in its process
	apart          time.Duration
	gone           int // zone whose other instances stand in a process of their own, which can be killed; -1: none
}

// hollowVoters vote: the first of those that have no twin.
const hollowVoters = 5

func (h hollowCluster) voter() int { return 2 * h.real }

// exchanged are the settings of the exchange: the file's defaults, but a staleness that the size needs.
func (h hollowCluster) exchanged() quota.Settings {
	s := homedSettings(h.n, operatorconfig.DefaultOwners)
	if h.period > 0 {
		s.Period, s.LeaseDuration = h.period, operatorconfig.DefaultStaleness.Seconds()
		s = fitting(s)
	}
	return s
}

// file is the operator's file of an instance.
func (h hollowCluster) file(c *Processes, x *Instance) string {
	var b strings.Builder
	if x.shares < 0 {
		fmt.Fprintf(&b, "admin {\n  listen = %q\n}\n", x.Admin)
	}
	if h.peers {
		s := h.exchanged()
		fmt.Fprintf(&b, "peers {\n  listen = %q\n  advertise = %q\n  join = [%q, %q]\n  cluster = \"lab\"\n  period = \"%gs\"\n  region = \"r%d\"\n}\ncounts {\n  staleness = \"%gs\"\n  homes = %d\n}\n",
			x.Peers, x.Door, c.Nodes[0].Door, c.Nodes[1].Door, s.Period, h.regions()(x.Index), s.LeaseDuration, s.Owners)
	}
	if h.accord {
		var at []string
		for _, v := range c.Nodes[h.voter():][:hollowVoters] {
			at = append(at, fmt.Sprintf("%s = %q", v.Name, v.Way))
		}
		var lines, names []string
		for _, y := range c.Nodes {
			lines, names = append(lines, fmt.Sprintf("%s = %q", y.Name, y.Line)), append(names, fmt.Sprintf("%q", y.Name))
		}
		fmt.Fprintf(&b, "accord {\n  cluster = \"lab\"\n  listen = %q\n  folder = %q\n  voters = { %s }\n}\nrules {\n  based_on = 0\n  tenant %q {\n    weight = 1\n  }\n",
			x.Accord, x.Dir, strings.Join(at, ", "), h.load.Teams[0].Name)
		if h.seats > 0 {
			fmt.Fprintf(&b, "  instances = [%s]\n}\nshards {\n  count = %d\n  listen = %q\n  instances = { %s }\n", strings.Join(names, ", "), h.seats, x.Jobs, strings.Join(lines, ", "))
		}
		b.WriteString("}\n")
	}
	return b.String()
}

// sites are the cluster, and what stands beside it.
func (h hollowCluster) sites() (list []Site) {
	var parties []string
	for _, t := range h.load.Teams {
		parties = append(parties, fmt.Sprintf(`{"name":%q,"quota_per_s":%g}`, t.Name, t.Quota))
	}
	zones := h.load.Place(h.n)
	one := Site{N: h.n, Workers: 8, Slots: 4, Mean: 100 * time.Millisecond,
		Lanes:   `{"name":"job","aim":0.6,"aim_stretch":2,"hard_limit":3,"value":1,"semantics":"safe"}`,
		Parties: strings.Join(parties, ","), File: h.file,
		Hollow: func(i int) int {
			switch {
			case i < h.real && !h.stand:
				return -1
			case i < 2*h.real: // a process of its own
				return h.hosts + 2 + i
			case h.accord && i >= h.voter() && i < h.voter()+hollowVoters: // one for them
				return h.hosts + 1
			case zones[i] == h.gone:
				return h.hosts
			}
			return i % h.hosts
		}}
	list = append(list, one)
	if h.plain > 0 {
		one.N, one.Hollow = h.plain, nil
		one.File = func(_ *Processes, x *Instance) string { return fmt.Sprintf("admin {\n  listen = %q\n}\n", x.Admin) }
		list = append(list, one)
	}
	return list
}

// regions gives an instance's; -1: it is in no cluster.
func (h hollowCluster) regions() func(i int) int {
	zones := h.load.Place(h.n)
	return func(i int) int {
		if i >= len(zones) {
			return -1
		}
		return h.load.Zones[zones[i]].Region
	}
}

// start starts all of it and waits until the instances have met.
func (h hollowCluster) start(p Params) (c *Processes, err error) {
	sites, err := StartSites(p, h.sites()...)
	if err != nil {
		return nil, err
	}
	c = sites[0]
	if h.apart > 0 {
		region := h.regions()
		c.Relay.Lay(func(a, b int) bool { return region(a) != region(b) }, Link{Delay: h.apart})
	}
	if err := Until(60*time.Second, "all have met", func() bool { return h.whole(c) }); err != nil {
		closeSites(sites)
		return nil, err
	}
	return c, nil
}

// groups are the real instances, their twins, the real ones beside the cluster, the hollow ones that share processes,
// and the voters among the hollow ones.
func (h hollowCluster) groups(c *Processes) (g [5][]*Instance) {
	if len(c.Sites) > 1 {
		g[beside] = c.Sites[1].Nodes
	}
	k := h.voter()
	g[reals], g[twins] = c.Nodes[:h.real], c.Nodes[h.real:k]
	if h.accord {
		g[voting], k = c.Nodes[k:k+hollowVoters], k+hollowVoters
	}
	g[shared] = c.Nodes[k:]
	return g
}

// Groups of a hollowCluster.
const (
	reals = iota
	twins
	beside
	shared
	voting
)

func closeSites(list []*Processes) {
	for _, c := range list {
		c.Close()
	}
}

// whole says that all that live are joined, see all others that live, and have a lease.
func (h hollowCluster) whole(c *Processes) bool {
	states, err := c.States()
	if err != nil {
		return false
	}
	alive, seats := len(states), 0
	for _, s := range states {
		seats += s.OwnedShards
	}
	if h.seats > 0 && seats < h.seats {
		return false
	}
	for _, x := range c.Nodes {
		if x.Pid() > 0 {
			alive++
		}
	}
	for _, s := range states {
		if h.peers && (!s.Joined || s.Peers < alive-1) || h.accord && (!s.Leased || s.Version < 1) {
			return false
		}
	}
	for _, x := range c.Nodes {
		if x.Pid() == 0 {
			continue
		}
		var s struct {
			Joined bool
			Peers  []struct{}
		}
		if h.peers && (x.Ask("/peers", &s) != nil || !s.Joined || len(s.Peers) < alive-1) {
			return false
		}
		if a, ok := x.accord(); h.accord && (!ok || !a.Leased || a.Version < 1) {
			return false
		}
	}
	return true
}

// enter is what enters at each instance, at a part of the peak. A twin has what its real one has, in place of its own.
func (h hollowCluster) enter(part float64) map[int]hollow.Demand {
	by := map[int]hollow.Demand{}
	for i := range h.n {
		by[i] = hollow.Demand{}
	}
	for t, list := range h.load.Enters(h.load.Place(h.n)) {
		for _, i := range list {
			by[i][h.load.Teams[t].Name] += h.load.Teams[t].Rate * part / float64(len(list))
		}
	}
	for i := range h.real {
		by[h.real+i] = by[i]
	}
	return by
}

// play has it come in: at hollow instances by their generators, at real ones by clients, and at those beside the
// cluster as at the real ones. What it returns ends it.
func (h hollowCluster) play(p Params, c *Processes, part float64) (stop func(), err error) {
	by := h.enter(part)
	if err := c.Demand(by); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	for k, site := range c.Sites {
		var streams []Stream
		for i, x := range site.Nodes {
			if x.Pid() == 0 || k > 0 && i >= h.real {
				continue
			}
			teams := make([]string, 0, len(by[i]))
			for t := range by[i] {
				teams = append(teams, t)
			}
			slices.Sort(teams)
			for _, t := range teams {
				streams = append(streams, Stream{Tenant: t, Class: "job", Entry: i, Rate: by[i][t], ClientTimeout: 2 * time.Second})
			}
		}
		site.Load.Play(ctx, p.Seed, streams)
	}
	return func() {
		cancel()
		for i := range by {
			by[i] = hollow.Demand{}
		}
		c.Demand(by)
		for _, site := range c.Sites {
			site.Load.Wait()
		}
	}, nil
}

// hollowTimes are how long each step of a play takes.
type hollowTimes struct{ settle, rest, warm, load, gone, cut time.Duration }

// hollowFound is what a play gave.
type hollowFound struct {
	rest, load, gone [5]Cost // by group
	stand            [2]Cost // of the hollow ones in the real ones' places, in a cluster of their own, at rest and at the peak
	whole            float64 // s until all live ones are one cluster again, after a cut
	alike            float64 // s from the end of the work until all count the same; infinite: not within what is stated
	apart            int     // teams of which those that know of them count otherwise, at the end
	orphaned         int     // the same, of those that came in at the zone that went, where homes are hashed
	late             float64 // part of the looks of hollow instances' generators that came too late, from rest to peak
	parted           bool    // two regions have been cut off each other
	took             time.Duration
}

// run plays it: at rest, at the peak, a zone's loss, a cut between two regions, and looks whether all count the same.
func (h hollowCluster) run(p Params, t hollowTimes) (f hollowFound, err error) {
	began := time.Now()
	c, err := h.start(p)
	if err != nil {
		return f, err
	}
	defer closeSites(c.Sites)
	// What an instance costs depends on its name, by which it is some teams' home. So the same cluster is played beside
	// it with hollow ones under the real ones' names.
	stand, q := h, p
	stand.stand, stand.plain = true, 0
	q.Out += "/stand"
	if err := os.MkdirAll(q.Out, 0o755); err != nil {
		return f, err
	}
	other, err := stand.start(q)
	if err != nil {
		return f, err
	}
	defer closeSites(other.Sites)
	groups := h.groups(c)
	look := func(span time.Duration, into *[5]Cost, beside *Cost) error {
		done := make(chan error, 1)
		go func() {
			list, err := other.Measure(span, other.Nodes[:h.real])
			if err == nil {
				*beside = list[0]
			}
			done <- err
		}()
		list, err := c.Measure(span, groups[:]...)
		if err == nil {
			copy(into[:], list)
		}
		return errors.Join(err, <-done)
	}
	time.Sleep(t.settle)
	looks, late, err := lateness(c)
	if err != nil {
		return f, err
	}
	if err := look(t.rest, &f.rest, &f.stand[0]); err != nil {
		return f, err
	}
	stop, err := h.play(p, c, 1)
	if err != nil {
		return f, err
	}
	defer func() { stop() }()
	if _, err := stand.play(q, other, 1); err != nil { // its instances end with their processes
		return f, err
	}
	time.Sleep(t.warm)
	if err := look(t.load, &f.load, &f.stand[1]); err != nil {
		return f, err
	}
	allLooks, allLate, err := lateness(c)
	if err != nil {
		return f, err
	}
	f.late = float64(allLate-late) / float64(max(allLooks-looks, 1))
	if h.gone >= 0 {
		for _, x := range c.Hosts {
			if x.Name == hostName(c, h.hosts) {
				x.Kill()
			}
		}
		if err := look(t.gone, &f.gone, &Cost{}); err != nil {
			return f, err
		}
	}
	if f.parted = t.cut > 0; !f.parted {
		f.took = time.Since(began)
		return f, nil
	}
	region := h.regions()
	heal := c.Relay.Lay(func(a, b int) bool { return min(region(a), region(b)) == 0 && max(region(a), region(b)) == 1 }, Link{Cut: true})
	time.Sleep(t.cut)
	heal()
	stop()
	stop = func() {}
	ended := time.Now()
	f.whole, f.alike = math.Inf(1), math.Inf(1)
	for time.Since(ended).Seconds() < h.alike() && (math.IsInf(f.whole, 1) || f.apart > 0 || math.IsInf(f.alike, 1)) {
		if math.IsInf(f.whole, 1) && h.whole(c) {
			f.whole = time.Since(ended).Seconds()
		}
		if f.apart, f.orphaned, err = h.apartOf(c); err != nil {
			return f, err
		}
		if f.apart == 0 {
			f.alike = time.Since(ended).Seconds()
		}
		time.Sleep(200 * time.Millisecond)
	}
	if f.apart+f.orphaned > 0 {
		known, err := h.known(c)
		if err != nil {
			return f, err
		}
		for _, team := range apart(slices.Collect(maps.Values(known))) {
			var said []string
			for _, x := range c.Nodes {
				if n, ok := known[x.Name][team]; ok {
					said = append(said, fmt.Sprintf("%s %d", x.Name, n))
				}
			}
			p.Log("%s is counted otherwise: %s", team, strings.Join(said, ", "))
		}
	}
	f.took = time.Since(began)
	return f, nil
}

// lateness is how many looks the generators of all hollow instances were to take until now, and how many came late.
func lateness(c *Processes) (looks, late uint64, err error) {
	for _, x := range c.Hosts {
		if x.Pid() == 0 {
			continue
		}
		a, err := x.Tell(hollow.Command{Report: true})
		if err != nil {
			return 0, 0, err
		}
		looks, late = looks+a.Usage.Polls, late+a.Usage.LatePolls
	}
	return looks, late, nil
}

// hollowLate is the part of looks that may come late; with more the machine does not keep up, and what is measured
// is its want of processors.
const hollowLate = 0.01

// known are the slots that were started of each team, as each instance that lives and knows of it says, by instance.
func (h hollowCluster) known(c *Processes) (map[string]map[string]uint64, error) {
	states, err := c.States()
	if err != nil {
		return nil, err
	}
	known := map[string]map[string]uint64{}
	for name, s := range states {
		known[name] = s.Known
	}
	for _, x := range c.Nodes[:h.real] {
		if x.Pid() == 0 {
			continue
		}
		var got map[string]struct{ Starts, Backs uint64 }
		if err := x.Ask("/counts", &got); err != nil {
			return nil, err
		}
		known[x.Name] = map[string]uint64{}
		for team, t := range got {
			known[x.Name][team] = (t.Starts - t.Backs) / usage.MillislotsPerSlot
		}
	}
	return known, nil
}

// apartOf is of how many teams those that know of them count otherwise: all instances, or a team's users and homes
// where those are hashed. Homes tell each other nothing: what one that was killed had told to some of a team's homes is
// not heard of by the others, so that teams which came in at the zone that went are counted apart there (orphaned).
func (h hollowCluster) apartOf(c *Processes) (teams, orphaned int, err error) {
	known, err := h.known(c)
	if err != nil {
		return 0, 0, err
	}
	gone := map[string]bool{}
	if h.exchanged().Owners > 0 && h.gone >= 0 {
		by := h.enter(1)
		for _, x := range c.Nodes {
			if pid, _ := x.process(); pid == 0 {
				for team := range by[x.Index] {
					gone[team] = true
				}
			}
		}
	}
	for _, team := range apart(slices.Collect(maps.Values(known))) {
		if gone[team] {
			orphaned++
		} else {
			teams++
		}
	}
	return teams, orphaned, nil
}

// apart are the things of which those that know of them say otherwise.
func apart(known []map[string]uint64) []string {
	first, differ := map[string]uint64{}, map[string]bool{}
	for _, m := range known {
		for team, net := range m {
			if was, ok := first[team]; ok && was != net {
				differ[team] = true
			} else {
				first[team] = net
			}
		}
	}
	return slices.Sorted(maps.Keys(differ))
}

// differ is how far a figure is from another, as a part of that; no figure where there is none.
func differ(a, b float64) float64 { return math.Abs(a-b) / math.Abs(b) }

// differs is the same of bytes a second that may be none: what is less than a hundredth of the budget is as if it were that.
func differs(a, b float64) float64 { return math.Abs(a-b) / max(b, capacity.Target.Bytes/100) }

// exchange is what the exchange sent and received, in datagrams and in membership's streams.
func (c Cost) exchange() (sent, received float64) {
	for _, k := range []Kind{Exchanged, Known} {
		sent, received = sent+c.By[k].Sent.Bytes, received+c.By[k].Received.Bytes
	}
	return sent, received
}

// of is what these kinds sent and received.
func (c Cost) of(kinds ...Kind) (both float64) {
	for _, k := range kinds {
		both += c.By[k].Sent.Bytes + c.By[k].Received.Bytes
	}
	return both
}

func runCapacityHollow(p CapacityParams) (*CapacityFound, error) {
	f := &CapacityFound{}
	if p.Quick {
		h := hollowAt(p, 24, 100)
		h.period = 0.5
		got, err := h.run(p.Params, hollowTimes{settle: 2 * time.Second, rest: 5 * time.Second, warm: 8 * time.Second, load: 7 * time.Second, gone: 4 * time.Second, cut: time.Second})
		if err != nil {
			return nil, err
		}
		h.claim(p, f, got)
		h.played(p, f, got)
		return f, nil
	}
	t := hollowTimes{settle: 4 * time.Second, rest: 8 * time.Second, warm: 6 * time.Second, load: 12 * time.Second, gone: 12 * time.Second}
	var most hollowFound
	for _, percent := range p.Percents {
		mine := t
		if percent == 100 {
			mine.rest, mine.load, mine.gone, mine.cut = 30*time.Second, 30*time.Second, time.Minute, 20*time.Second
		}
		h := hollowAt(p, 44, percent)
		got, err := h.run(p.Params, mine)
		if err != nil {
			return nil, fmt.Errorf("%d %%: %w", percent, err)
		}
		h.rows(f, got)
		if percent == 100 {
			h.claim(p, f, got)
			h.played(p, f, got)
			most = got
		}
	}
	if err := hollowSizes(p, f); err != nil {
		return nil, err
	}
	// A cluster of 300 is played where half of the machine carries it.
	const large = 300
	cores := most.load[shared].CPU / 1000 * large
	f.Note("processors that 300 instances would take by what they take at 44", cores, "processors")
	if cores > float64(runtime.NumCPU())/2 {
		p.Log("300 are not played: they would take %.1f of %d processors", cores, runtime.NumCPU())
		return f, nil
	}
	h := hollowAt(p, large, 100)
	got, err := h.run(p.Params, hollowTimes{settle: 10 * time.Second, rest: 20 * time.Second, warm: 10 * time.Second, load: 20 * time.Second, gone: 30 * time.Second})
	if err != nil {
		return nil, fmt.Errorf("300 instances: %w", err)
	}
	h.rows(f, got)
	return f, nil
}

// hollowShards are seated where seats are played.
const hollowShards = 128

// hollowSizes has clusters of several sizes at rest, with all that the operator's file switches on.
func hollowSizes(p CapacityParams, f *CapacityFound) error {
	lines := []struct {
		what, unit string
		kind       capacity.Kind
		of         func(one, voter Cost) float64
		points     []capacity.Point
	}{
		{what: "membership on sockets, sent and received", unit: "B/s", kind: capacity.Membership, of: func(one, _ Cost) float64 { return one.of(Probing, States) }},
		{what: "counts and loans on sockets, sent and received at rest", unit: "B/s", kind: capacity.Counts, of: func(one, _ Cost) float64 { return one.of(Exchanged, Known) }},
		{what: "agreement, sent and received, one that does not vote", unit: "B/s", kind: capacity.Agreement, of: func(one, _ Cost) float64 { return one.of(Agreeing) }},
		{what: "agreement, sent and received, mean of five voters", unit: "B/s", kind: capacity.Agreement, of: func(_, voter Cost) float64 { return voter.of(Agreeing) }},
		{what: "seats without jobs, sent and received", unit: "B/s", kind: capacity.Seats, of: func(one, _ Cost) float64 { return one.of(Seating) }},
		{what: "all of it at rest, processor time, many in a process", unit: "ms/s", of: func(one, _ Cost) float64 { return one.CPU }},
		{what: "all of it at rest, memory, many in a process", unit: "MB", of: func(one, _ Cost) float64 { return one.Memory / 1e6 }},
		{what: "all of it at rest, descriptors", unit: "", of: func(one, _ Cost) float64 { return one.Descriptors }},
		{what: "all of it at rest, descriptors of a voter", unit: "", of: func(_, voter Cost) float64 { return voter.Descriptors }},
	}
	for _, n := range []int{8, 22, 44, 88} {
		h := hollowAt(p, n, 100)
		h.real, h.plain, h.gone, h.seats = 0, 0, -1, hollowShards
		q := p.Params
		q.Out = fmt.Sprintf("%s/%d", p.Out, n)
		if err := os.MkdirAll(q.Out, 0o755); err != nil {
			return err
		}
		c, err := h.start(q)
		if err != nil {
			return fmt.Errorf("%d instances: %w", n, err)
		}
		time.Sleep(5 * time.Second)
		groups := h.groups(c)
		got, err := c.Measure(10*time.Second, groups[shared], groups[voting])
		closeSites(c.Sites)
		if err != nil {
			return err
		}
		for i := range lines {
			x := &lines[i]
			x.points = append(x.points, capacity.Point{X: float64(n), Y: x.of(got[0], got[1])})
		}
		p.Log("%d instances at rest, with seats: one %+v, a voter %+v", n, got[0], got[1])
		if n != 44 {
			continue
		}
		r := capacity.AtMost(capacity.Bytes, 100, "seats without jobs, sent and received at 44 dispatchers", capacity.Target.Bytes, got[0].of(Seating), "B/s", capacity.OnSockets)
		r.Kind = capacity.Seats
		f.Row(r)
	}
	for _, x := range lines {
		if err := f.Slope(x.what, capacity.ByDispatchers, x.unit, capacity.OnSockets, x.kind, x.points); err != nil {
			return err
		}
	}
	return nil
}

// hollowAt is a cluster of so many, two of them real, and two real ones beside it. The zone that goes is that of the last.
func hollowAt(p CapacityParams, n, percent int) hollowCluster {
	h := hollowCluster{n: n, real: 2, plain: 2, hosts: 1, peers: true, accord: true, apart: 20 * time.Millisecond, load: p.Load(percent)}
	h.gone = h.load.Place(n)[n-1]
	return h
}

// claim says how near hollow instances are to real ones, and whether all came together again.
func (h hollowCluster) claim(p CapacityParams, f *CapacityFound, got hollowFound) {
	at := fmt.Sprintf(", %d instances", h.n)
	if got.late > hollowLate {
		f.Void = fmt.Sprintf("%.1f %% of the looks of hollow instances came more than %v late: the machine was too busy", 100*got.late, hollow.LateThreshold)
	}
	for k, when := range []string{"at rest", "at the peak"} {
		f.Note("hollow, in the places of the real, "+when+": sent"+at, got.stand[k].Sent, "B/s")
		f.Note("hollow, in the places of the real, "+when+": received"+at, got.stand[k].Received, "B/s")
		f.Note("hollow, in the places of the real, "+when+": processor time"+at, got.stand[k].CPU, "ms/s")
	}
	f.Note("looks of hollow instances that came late"+at, got.late, "part")
	for k, x := range []struct {
		when string
		by   [5]Cost
	}{{"at rest", got.rest}, {"at the peak", got.load}} {
		f.AtMost("bytes of hollow instances differ from real ones', "+x.when+at, hollowNear, differ(held(got.stand[k], p.Quick), held(x.by[reals], p.Quick)), "part")
		busy := differ(got.stand[k].CPU, x.by[reals].CPU-x.by[beside].CPU)
		// A few seconds beside others' work say little of some milliseconds.
		if name := "processor time of hollow instances differs from what real ones' membership, exchange and agreement take, " + x.when + at; p.Quick {
			f.Note(name, busy, "part")
		} else {
			f.AtMost(name, hollowNear, busy, "part")
		}
	}
	f.AtMost("all that know of a team count the same of it, after a zone's loss and a cut, once work has ended, within"+at, h.alike(), min(got.alike, 1e6), "s")
	f.Note("teams counted otherwise at the end"+at, float64(got.apart), "teams")
	f.Note("teams counted otherwise at the end, for what only some homes heard from the zone that went"+at, float64(got.orphaned), "teams")
	f.AtMost("all that live are one cluster then, within"+at, h.alike(), min(got.whole, 1e6), "s")
	for _, x := range []struct {
		when string
		by   [5]Cost
	}{{"at rest", got.rest}, {"at the peak", got.load}, {"a zone gone", got.gone}} {
		for k, who := range []string{"real", "hollow, alone in its process", "real, in no cluster", "hollow, many in a process", "hollow voter"} {
			c := x.by[k]
			if c.Alive == 0 {
				continue
			}
			f.Note(fmt.Sprintf("%s, %s: sent%s", who, x.when, at), c.Sent, "B/s")
			f.Note(fmt.Sprintf("%s, %s: received%s", who, x.when, at), c.Received, "B/s")
			f.Note(fmt.Sprintf("%s, %s: processor time%s", who, x.when, at), c.CPU, "ms/s")
			f.Note(fmt.Sprintf("%s, %s: memory%s", who, x.when, at), c.Memory/1e6, "MB")
			f.Note(fmt.Sprintf("%s, %s: descriptors%s", who, x.when, at), c.Descriptors, "")
			if k == shared || k == voting {
				for _, kind := range []Kind{Probing, States, Exchanged, Known, Agreeing} {
					f.Note(fmt.Sprintf("%s, %s: %s, sent%s", who, x.when, kind, at), c.By[kind].Sent.Bytes, "B/s")
				}
			}
		}
	}
	f.Note("took", got.took.Seconds(), "s")
}

// held is what is compared of real and hollow instances: all that they sent and received; over a few seconds without
// push/pull, of which one more or less, in some 5 s, is a third of an instance's bytes at rest.
func held(c Cost, quick bool) float64 {
	if quick {
		return c.Both() - c.of(States, Known)
	}
	return c.Both()
}

// played says how near virtual time is to the same cluster on sockets.
func (h hollowCluster) played(p CapacityParams, f *CapacityFound, got hollowFound) {
	at := fmt.Sprintf(", %d instances", h.n)
	v := &exchangeRun{seed: p.Seed, n: h.n, percent: h.load.Percent, starts: h.load.Percent, set: h.exchanged(), rest: 10, load: 20}
	if p.Quick {
		v.rest, v.load = 4, 8
	}
	played := v.play()
	for _, x := range []struct {
		when       string
		virtual, h float64
	}{{"at rest", played.restSent, meanExchange(got.rest)}, {"at the peak", played.loadSent, meanExchange(got.load)}} {
		f.AtMost("what counts and loans send in virtual time differs from hollow and real instances', "+x.when+at, hollowNear, differs(x.virtual, x.h), "part")
		f.Note("virtual time: counts and loans sent, "+x.when+at, x.virtual, "B/s")
		f.Note("hollow and real: counts and loans sent, "+x.when+at, x.h, "B/s")
	}
}

// meanExchange is what the exchange sends, in the mean of all instances of a cluster.
func meanExchange(by [5]Cost) (sent float64) {
	n := 0
	for k, c := range by {
		if k == beside {
			continue
		}
		s, _ := c.exchange()
		sent, n = sent+s*float64(c.Alive), n+c.Alive
	}
	return sent / float64(n)
}

// rows holds a play against the target.
func (h hollowCluster) rows(f *CapacityFound, got hollowFound) {
	at, budget := fmt.Sprintf(" at %d dispatchers", h.n), capacity.Target
	add := func(kind capacity.Kind, line, what string, bound, measured float64, unit string) *capacity.Row {
		r := capacity.AtMost(line, h.load.Percent, what+at, bound, measured, unit, capacity.OnSockets)
		r.Kind = kind
		f.Row(r)
		return &f.Rows[len(f.Rows)-1]
	}
	in := func(k capacity.Kind) capacity.Kind { // the budget is added up at two a zone
		if h.n > 100 {
			return ""
		}
		return k
	}
	c := got.load[shared]
	add(in(capacity.Membership), capacity.Bytes, "membership, sent and received, mean of the peak", budget.Bytes, c.of(Probing, States), "B/s")
	add(in(capacity.Agreement), capacity.Bytes, "agreement, sent and received, one that does not vote", budget.Bytes, c.of(Agreeing), "B/s")
	add("", capacity.Bytes, "counts and loans on sockets, sent and received, mean of the peak", budget.Bytes, c.of(Exchanged, Known), "B/s")
	add("", capacity.Bytes, "the same at rest", budget.Bytes, got.rest[shared].of(Exchanged, Known), "B/s")
	add("", capacity.Bytes, "membership, counts and loans, and agreement, the worst second of any dispatcher that does not vote", budget.Bytes, c.Worst, "B/s").Shown = true
	add("", capacity.Bytes, "agreement, sent and received, mean of the voters", budget.Bytes, got.load[voting].of(Agreeing), "B/s").Shown = true
	add("", capacity.Core, "membership, counts and loans, and agreement with their sockets, mean of the peak", budget.Core, got.load[twins].CPU/10, "%")
	add("", capacity.Core, "the same, a real process against one in no cluster", budget.Core, (got.load[reals].CPU-got.load[beside].CPU)/10, "%")
	add("", capacity.Core, "the same, mean of the voters, which share a process", budget.Core, got.load[voting].CPU/10, "%").Shown = true
	add("", capacity.Memory, "a whole process", budget.Memory, got.load[reals].Memory/1e6, "MB")
	if got.gone[shared].Alive > 0 {
		add("", capacity.ZoneLoss, "membership, counts and loans, and agreement, sent, mean while a zone is gone", exchangeMinute, got.gone[shared].Sent, "B/s")
	}
	if got.parted {
		add("", capacity.Links, "all that know of a team count the same of it, after a zone's loss and two regions apart, once work has ended, within", h.alike(), min(got.alike, 1e6), "s")
	}
}
