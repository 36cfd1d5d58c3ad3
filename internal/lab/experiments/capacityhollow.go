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

// hollowTolerance is the fraction by which figures of hollow instances may differ from those of real ones, and from
// virtual time.
const hollowTolerance = 0.15

// convergenceBound returns the time in seconds within which all instances must agree on counts and be connected,
// after the partition and the load have ended. Updates that an instance sent shortly before it was killed spread by
// memberlist's push/pull alone: each round doubles the number of instances that know them; two more rounds are
// allowed.
func (h hollowCluster) convergenceBound() float64 {
	return pushPullInterval * pushPullScale(h.n) * (math.Ceil(math.Log2(float64(h.n))) + 2)
}

// pushPullInterval is the time in seconds between two push/pull exchanges of an instance with another, in a small
// cluster.
const pushPullInterval = 5.0

// hollowCluster describes a cluster of hollow instances with some real ones among them. Real instances in no cluster
// run beside it, for comparison: the difference is the cost of being in the cluster.
type hollowCluster struct {
	n, real, standalone int
	load                *capacity.Load
	peers, agreement    bool    // sections that the operator's file has
	shards              int     // shards; 0: none. Hollow instances know no workers, so there must be no demand with shards
	period              float64 // s, period of the exchange; 0: the file's default
	hosts               int     // processes that the hollow instances share
	standIns            bool    // hollow instances run under the names of the real ones too, each alone in its process
	regionDelay         time.Duration
	lostZone            int // zone whose other instances share a process of their own, which can be killed; -1: none
}

// hollowVoters is the number of voters: the first instances that neither are real nor run alone in their process.
const hollowVoters = 5

func (h hollowCluster) firstVoter() int { return 2 * h.real }

// quotaSettings returns the settings of the exchange: the file's defaults, but with a staleness that is valid for the
// cluster's size.
func (h hollowCluster) quotaSettings() quota.Settings {
	s := ownerSettings(h.n, operatorconfig.DefaultOwners)
	if h.period > 0 {
		s.Period, s.LeaseDuration = h.period, operatorconfig.DefaultStaleness.Seconds()
		s = withValidLease(s)
	}
	return s
}

// operatorFile returns the operator's file of an instance.
func (h hollowCluster) operatorFile(c *Processes, x *Instance) string {
	var b strings.Builder
	if x.hostIndex < 0 {
		fmt.Fprintf(&b, "admin {\n  listen = %q\n}\n", x.Admin)
	}
	if h.peers {
		s := h.quotaSettings()
		fmt.Fprintf(&b, "peers {\n  listen = %q\n  advertise = %q\n  join = [%q, %q]\n  cluster = \"lab\"\n  period = \"%gs\"\n  region = \"r%d\"\n}\ncounts {\n  staleness = \"%gs\"\n  homes = %d\n}\n",
			x.GossipListen, x.GossipAddr, c.Nodes[0].GossipAddr, c.Nodes[1].GossipAddr, s.Period, h.regions()(x.Index), s.LeaseDuration, s.Owners)
	}
	if h.agreement {
		var voters []string
		for _, v := range c.Nodes[h.firstVoter():][:hollowVoters] {
			voters = append(voters, fmt.Sprintf("%s = %q", v.Name, v.AccordAddr))
		}
		var lines, names []string
		for _, node := range c.Nodes {
			lines, names = append(lines, fmt.Sprintf("%s = %q", node.Name, node.JobsAddr)), append(names, fmt.Sprintf("%q", node.Name))
		}
		fmt.Fprintf(&b, "accord {\n  cluster = \"lab\"\n  listen = %q\n  folder = %q\n  voters = { %s }\n}\nrules {\n  based_on = 0\n  tenant %q {\n    weight = 1\n  }\n",
			x.AccordListen, x.Dir, strings.Join(voters, ", "), h.load.Teams[0].Name)
		if h.shards > 0 {
			fmt.Fprintf(&b, "  instances = [%s]\n}\nshards {\n  count = %d\n  listen = %q\n  instances = { %s }\n", strings.Join(names, ", "), h.shards, x.JobsListen, strings.Join(lines, ", "))
		}
		b.WriteString("}\n")
	}
	return b.String()
}

// sites returns the cluster, and the real instances beside it.
func (h hollowCluster) sites() (list []Site) {
	var tenants []string
	for _, t := range h.load.Teams {
		tenants = append(tenants, fmt.Sprintf(`{"name":%q,"quota_per_s":%g}`, t.Name, t.Quota))
	}
	zones := h.load.Place(h.n)
	site := Site{N: h.n, Workers: 8, Slots: 4, Mean: 100 * time.Millisecond,
		ClassesJSON: `{"name":"job","aim":0.6,"aim_stretch":2,"hard_limit":3,"value":1,"semantics":"safe"}`,
		TenantsJSON: strings.Join(tenants, ","), File: h.operatorFile,
		Hollow: func(i int) int {
			switch {
			case i < h.real && !h.standIns:
				return -1
			case i < 2*h.real: // alone in its process
				return h.hosts + 2 + i
			case h.agreement && i >= h.firstVoter() && i < h.firstVoter()+hollowVoters: // the voters share a process
				return h.hosts + 1
			case zones[i] == h.lostZone:
				return h.hosts
			}
			return i % h.hosts
		}}
	list = append(list, site)
	if h.standalone > 0 {
		site.N, site.Hollow = h.standalone, nil
		site.File = func(_ *Processes, x *Instance) string { return fmt.Sprintf("admin {\n  listen = %q\n}\n", x.Admin) }
		list = append(list, site)
	}
	return list
}

// regions returns a function from an instance's index to its region; -1: the instance is in no cluster.
func (h hollowCluster) regions() func(i int) int {
	zones := h.load.Place(h.n)
	return func(i int) int {
		if i >= len(zones) {
			return -1
		}
		return h.load.Zones[zones[i]].Region
	}
}

// start starts all sites and waits until the instances are connected.
func (h hollowCluster) start(p Params) (c *Processes, err error) {
	sites, err := StartSites(p, h.sites()...)
	if err != nil {
		return nil, err
	}
	c = sites[0]
	if h.regionDelay > 0 {
		region := h.regions()
		c.Relay.AddFault(func(a, b int) bool { return region(a) != region(b) }, Link{Delay: h.regionDelay})
	}
	if err := Until(60*time.Second, "all instances are connected", func() bool { return h.connected(c) }); err != nil {
		closeSites(sites)
		return nil, err
	}
	return c, nil
}

// groups returns the real instances, the hollow ones that run alone in their processes, the real ones beside the
// cluster, the hollow ones that share processes, and the voters among the hollow ones.
func (h hollowCluster) groups(c *Processes) (g [5][]*Instance) {
	if len(c.Sites) > 1 {
		g[groupStandalone] = c.Sites[1].Nodes
	}
	k := h.firstVoter()
	g[groupReal], g[groupAlone] = c.Nodes[:h.real], c.Nodes[h.real:k]
	if h.agreement {
		g[groupVoters], k = c.Nodes[k:k+hollowVoters], k+hollowVoters
	}
	g[groupShared] = c.Nodes[k:]
	return g
}

// Groups of a hollowCluster's instances.
const (
	groupReal = iota
	groupAlone
	groupStandalone
	groupShared
	groupVoters
)

func closeSites(list []*Processes) {
	for _, c := range list {
		c.Close()
	}
}

// connected reports whether every live instance has joined, sees all other live instances and has a lease, and
// whether all shards have an owner.
func (h hollowCluster) connected(c *Processes) bool {
	states, err := c.HollowStates()
	if err != nil {
		return false
	}
	alive, owned := len(states), 0
	for _, s := range states {
		owned += s.OwnedShards
	}
	if h.shards > 0 && owned < h.shards {
		return false
	}
	for _, node := range c.Nodes {
		if node.Pid() > 0 {
			alive++
		}
	}
	for _, s := range states {
		if h.peers && (!s.Joined || s.Peers < alive-1) || h.agreement && (!s.Leased || s.Version < 1) {
			return false
		}
	}
	for _, node := range c.Nodes {
		if node.Pid() == 0 {
			continue
		}
		var s struct {
			Joined bool
			Peers  []struct{}
		}
		if h.peers && (node.Ask("/peers", &s) != nil || !s.Joined || len(s.Peers) < alive-1) {
			return false
		}
		if a, ok := node.accordStatus(); h.agreement && (!ok || !a.Leased || a.Version < 1) {
			return false
		}
	}
	return true
}

// demand returns the demand at each instance, at a fraction of the peak. A hollow instance that runs alone in its
// process has the demand of its real counterpart instead of its own.
func (h hollowCluster) demand(fraction float64) map[int]hollow.Demand {
	byInstance := map[int]hollow.Demand{}
	for i := range h.n {
		byInstance[i] = hollow.Demand{}
	}
	for t, list := range h.load.Enters(h.load.Place(h.n)) {
		for _, i := range list {
			byInstance[i][h.load.Teams[t].Name] += h.load.Teams[t].Rate * fraction / float64(len(list))
		}
	}
	for i := range h.real {
		byInstance[h.real+i] = byInstance[i]
	}
	return byInstance
}

// startLoad starts the load at a fraction of the peak: hollow instances use their generators, real ones get clients,
// and those beside the cluster get the same clients as the real ones. The returned function ends the load.
func (h hollowCluster) startLoad(p Params, c *Processes, fraction float64) (stop func(), err error) {
	demand := h.demand(fraction)
	if err := c.SetDemand(demand); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	for k, site := range c.Sites {
		var streams []Stream
		for i, node := range site.Nodes {
			if node.Pid() == 0 || k > 0 && i >= h.real {
				continue
			}
			teams := make([]string, 0, len(demand[i]))
			for t := range demand[i] {
				teams = append(teams, t)
			}
			slices.Sort(teams)
			for _, t := range teams {
				streams = append(streams, Stream{Tenant: t, Class: "job", Entry: i, Rate: demand[i][t], ClientTimeout: 2 * time.Second})
			}
		}
		site.Load.Play(ctx, p.Seed, streams)
	}
	return func() {
		cancel()
		for i := range demand {
			demand[i] = hollow.Demand{}
		}
		c.SetDemand(demand)
		for _, site := range c.Sites {
			site.Load.Wait()
		}
	}, nil
}

// hollowTimes are the durations of a run's steps.
type hollowTimes struct{ settle, rest, warmUp, load, zoneLoss, partition time.Duration }

// hollowResult is what a run measured.
type hollowResult struct {
	rest, load, zoneLoss [5]Cost // by group
	standIns             [2]Cost // of the hollow instances under the real ones' names, in a cluster of their own, at rest and at the peak
	connectedAfter       float64 // s from the end of the partition and the load until all live instances are connected again; infinite: not within the bound
	convergedAfter       float64 // s from the end of the load until all instances agree on counts; infinite: not within the bound
	disagreeing          int     // teams with different counts at the end, among the instances that know of them
	orphaned             int     // the same for teams that entered at the lost zone, with hashed owners
	lateFraction         float64 // fraction of late polls of the hollow instances' generators, from rest to peak
	partitioned          bool    // two regions were partitioned
	took                 time.Duration
}

// run measures the cluster at rest, at the peak, during a zone's loss and through a partition of two regions, and
// then whether all instances agree on counts.
func (h hollowCluster) run(p Params, times hollowTimes) (result hollowResult, err error) {
	began := time.Now()
	c, err := h.start(p)
	if err != nil {
		return result, err
	}
	defer closeSites(c.Sites)
	// An instance's cost depends on its name, which determines the teams that it owns. So a second cluster runs
	// beside the first, with hollow instances under the real ones' names.
	standIns, standInParams := h, p
	standIns.standIns, standIns.standalone = true, 0
	standInParams.Out += "/stand"
	if err := os.MkdirAll(standInParams.Out, 0o755); err != nil {
		return result, err
	}
	standInCluster, err := standIns.start(standInParams)
	if err != nil {
		return result, err
	}
	defer closeSites(standInCluster.Sites)
	groups := h.groups(c)
	measure := func(duration time.Duration, costs *[5]Cost, standInCost *Cost) error {
		done := make(chan error, 1)
		go func() {
			list, err := standInCluster.Measure(duration, standInCluster.Nodes[:h.real])
			if err == nil {
				*standInCost = list[0]
			}
			done <- err
		}()
		list, err := c.Measure(duration, groups[:]...)
		if err == nil {
			copy(costs[:], list)
		}
		return errors.Join(err, <-done)
	}
	time.Sleep(times.settle)
	polls, late, err := lateness(c)
	if err != nil {
		return result, err
	}
	if err := measure(times.rest, &result.rest, &result.standIns[0]); err != nil {
		return result, err
	}
	stop, err := h.startLoad(p, c, 1)
	if err != nil {
		return result, err
	}
	defer func() { stop() }()
	if _, err := standIns.startLoad(standInParams, standInCluster, 1); err != nil { // ends with the processes of its instances
		return result, err
	}
	time.Sleep(times.warmUp)
	if err := measure(times.load, &result.load, &result.standIns[1]); err != nil {
		return result, err
	}
	allPolls, allLate, err := lateness(c)
	if err != nil {
		return result, err
	}
	result.lateFraction = float64(allLate-late) / float64(max(allPolls-polls, 1))
	if h.lostZone >= 0 {
		for _, host := range c.Hosts {
			if host.Name == hostName(c, h.hosts) {
				host.Kill()
			}
		}
		if err := measure(times.zoneLoss, &result.zoneLoss, &Cost{}); err != nil {
			return result, err
		}
	}
	if result.partitioned = times.partition > 0; !result.partitioned {
		result.took = time.Since(began)
		return result, nil
	}
	region := h.regions()
	restore := c.Relay.AddFault(func(a, b int) bool { return min(region(a), region(b)) == 0 && max(region(a), region(b)) == 1 }, Link{Cut: true})
	time.Sleep(times.partition)
	restore()
	stop()
	stop = func() {}
	loadEnd := time.Now()
	result.connectedAfter, result.convergedAfter = math.Inf(1), math.Inf(1)
	for time.Since(loadEnd).Seconds() < h.convergenceBound() && (math.IsInf(result.connectedAfter, 1) || result.disagreeing > 0 || math.IsInf(result.convergedAfter, 1)) {
		if math.IsInf(result.connectedAfter, 1) && h.connected(c) {
			result.connectedAfter = time.Since(loadEnd).Seconds()
		}
		if result.disagreeing, result.orphaned, err = h.countDisagreements(c); err != nil {
			return result, err
		}
		if result.disagreeing == 0 {
			result.convergedAfter = time.Since(loadEnd).Seconds()
		}
		time.Sleep(200 * time.Millisecond)
	}
	if result.disagreeing+result.orphaned > 0 {
		known, err := h.knownStarts(c)
		if err != nil {
			return result, err
		}
		for _, team := range disagreeing(slices.Collect(maps.Values(known))) {
			var reports []string
			for _, node := range c.Nodes {
				if n, ok := known[node.Name][team]; ok {
					reports = append(reports, fmt.Sprintf("%s %d", node.Name, n))
				}
			}
			p.Log("instances count different starts of %s: %s", team, strings.Join(reports, ", "))
		}
	}
	result.took = time.Since(began)
	return result, nil
}

// lateness returns how many polls the generators of all hollow instances had due until now, and how many were late.
func lateness(c *Processes) (polls, late uint64, err error) {
	for _, host := range c.Hosts {
		if host.Pid() == 0 {
			continue
		}
		response, err := host.Execute(hollow.Command{Report: true})
		if err != nil {
			return 0, 0, err
		}
		polls, late = polls+response.Usage.Polls, late+response.Usage.LatePolls
	}
	return polls, late, nil
}

// maxLateFraction is the largest fraction of late polls in a valid run. With more the machine is overloaded, and the
// figures show its lack of processors.
const maxLateFraction = 0.01

// knownStarts returns the net number of started slots of each team, as reported by each live instance that knows of
// the team, by instance.
func (h hollowCluster) knownStarts(c *Processes) (map[string]map[string]uint64, error) {
	states, err := c.HollowStates()
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

// countDisagreements returns the number of teams with different counts among the instances that know of them: all
// instances, or with hashed owners the users and owners of a team. Owners do not exchange counts with each other:
// what a killed instance had told only some of a team's owners does not reach the others, so teams that entered at
// the lost zone are counted separately (orphaned).
func (h hollowCluster) countDisagreements(c *Processes) (teams, orphaned int, err error) {
	known, err := h.knownStarts(c)
	if err != nil {
		return 0, 0, err
	}
	lostTeams := map[string]bool{}
	if h.quotaSettings().Owners > 0 && h.lostZone >= 0 {
		demand := h.demand(1)
		for _, x := range c.Nodes {
			if pid, _ := x.hostProcess(); pid == 0 {
				for team := range demand[x.Index] {
					lostTeams[team] = true
				}
			}
		}
	}
	for _, team := range disagreeing(slices.Collect(maps.Values(known))) {
		if lostTeams[team] {
			orphaned++
		} else {
			teams++
		}
	}
	return teams, orphaned, nil
}

// disagreeing returns the keys for which the maps that have them differ, sorted.
func disagreeing(known []map[string]uint64) []string {
	first, differing := map[string]uint64{}, map[string]bool{}
	for _, counts := range known {
		for team, net := range counts {
			if earlier, ok := first[team]; ok && earlier != net {
				differing[team] = true
			} else {
				first[team] = net
			}
		}
	}
	return slices.Sorted(maps.Keys(differing))
}

// relativeDifference returns the distance of a from b as a fraction of b; it is not finite if b is 0.
func relativeDifference(a, b float64) float64 { return math.Abs(a-b) / math.Abs(b) }

// byteDifference is the same for bytes per second. Values of b below a hundredth of the budget, also 0, count as
// that.
func byteDifference(a, b float64) float64 { return math.Abs(a-b) / max(b, capacity.Target.Bytes/100) }

// exchangeBytes returns the bytes that the exchange sent and received, in datagrams and in membership streams.
func (c Cost) exchangeBytes() (sent, received float64) {
	for _, k := range []TrafficKind{TrafficExchange, TrafficPushPullUsage} {
		sent, received = sent+c.By[k].Sent.Bytes, received+c.By[k].Received.Bytes
	}
	return sent, received
}

// bytesOf returns the bytes of the given kinds, sent and received.
func (c Cost) bytesOf(kinds ...TrafficKind) (both float64) {
	for _, k := range kinds {
		both += c.By[k].Sent.Bytes + c.By[k].Received.Bytes
	}
	return both
}

func runCapacityHollow(p CapacityParams) (*CapacityResult, error) {
	f := &CapacityResult{}
	if p.Quick {
		h := hollowAt(p, 24, 100)
		h.period = 0.5
		result, err := h.run(p.Params, hollowTimes{settle: 2 * time.Second, rest: 5 * time.Second, warmUp: 8 * time.Second, load: 7 * time.Second, zoneLoss: 4 * time.Second, partition: time.Second})
		if err != nil {
			return nil, err
		}
		h.addClaims(p, f, result)
		h.compareVirtualTime(p, f, result)
		return f, nil
	}
	usualTimes := hollowTimes{settle: 4 * time.Second, rest: 8 * time.Second, warmUp: 6 * time.Second, load: 12 * time.Second, zoneLoss: 12 * time.Second}
	var fullSize hollowResult
	for _, percent := range p.Percents {
		times := usualTimes
		if percent == 100 {
			times.rest, times.load, times.zoneLoss, times.partition = 30*time.Second, 30*time.Second, time.Minute, 20*time.Second
		}
		h := hollowAt(p, 44, percent)
		result, err := h.run(p.Params, times)
		if err != nil {
			return nil, fmt.Errorf("%d %%: %w", percent, err)
		}
		h.addRows(f, result)
		if percent == 100 {
			h.addClaims(p, f, result)
			h.compareVirtualTime(p, f, result)
			fullSize = result
		}
	}
	if err := hollowSizes(p, f); err != nil {
		return nil, err
	}
	// A cluster of 300 runs only if half of the machine can carry it.
	const large = 300
	cores := fullSize.load[groupShared].CPU / 1000 * large
	f.Note("processors that 300 instances would take by what they take at 44", cores, "processors")
	if cores > float64(runtime.NumCPU())/2 {
		p.Log("300 instances are not run: they would take %.1f of %d processors", cores, runtime.NumCPU())
		return f, nil
	}
	h := hollowAt(p, large, 100)
	result, err := h.run(p.Params, hollowTimes{settle: 10 * time.Second, rest: 20 * time.Second, warmUp: 10 * time.Second, load: 20 * time.Second, zoneLoss: 30 * time.Second})
	if err != nil {
		return nil, fmt.Errorf("300 instances: %w", err)
	}
	h.addRows(f, result)
	return f, nil
}

// hollowShards is the number of shards in runs with shards.
const hollowShards = 128

// hollowSizes measures clusters of several sizes at rest, with everything that the operator's file switches on.
func hollowSizes(p CapacityParams, f *CapacityResult) error {
	series := []struct {
		what, unit string
		kind       capacity.Kind
		of         func(one, voter Cost) float64
		points     []capacity.Point
	}{
		{what: "membership on sockets, sent and received", unit: "B/s", kind: capacity.Membership, of: func(one, _ Cost) float64 { return one.bytesOf(TrafficMembership, TrafficPushPull) }},
		{what: "counts and loans on sockets, sent and received at rest", unit: "B/s", kind: capacity.Counts, of: func(one, _ Cost) float64 { return one.bytesOf(TrafficExchange, TrafficPushPullUsage) }},
		{what: "agreement, sent and received, one that does not vote", unit: "B/s", kind: capacity.Agreement, of: func(one, _ Cost) float64 { return one.bytesOf(TrafficAgreement) }},
		{what: "agreement, sent and received, mean of five voters", unit: "B/s", kind: capacity.Agreement, of: func(_, voter Cost) float64 { return voter.bytesOf(TrafficAgreement) }},
		{what: "seats without jobs, sent and received", unit: "B/s", kind: capacity.Seats, of: func(one, _ Cost) float64 { return one.bytesOf(TrafficShards) }},
		{what: "all of it at rest, processor time, many in a process", unit: "ms/s", of: func(one, _ Cost) float64 { return one.CPU }},
		{what: "all of it at rest, memory, many in a process", unit: "MB", of: func(one, _ Cost) float64 { return one.Memory / 1e6 }},
		{what: "all of it at rest, descriptors", unit: "", of: func(one, _ Cost) float64 { return one.Descriptors }},
		{what: "all of it at rest, descriptors of a voter", unit: "", of: func(_, voter Cost) float64 { return voter.Descriptors }},
	}
	for _, n := range []int{8, 22, 44, 88} {
		h := hollowAt(p, n, 100)
		h.real, h.standalone, h.lostZone, h.shards = 0, 0, -1, hollowShards
		sizeParams := p.Params
		sizeParams.Out = fmt.Sprintf("%s/%d", p.Out, n)
		if err := os.MkdirAll(sizeParams.Out, 0o755); err != nil {
			return err
		}
		c, err := h.start(sizeParams)
		if err != nil {
			return fmt.Errorf("%d instances: %w", n, err)
		}
		time.Sleep(5 * time.Second)
		groups := h.groups(c)
		costs, err := c.Measure(10*time.Second, groups[groupShared], groups[groupVoters])
		closeSites(c.Sites)
		if err != nil {
			return err
		}
		for i := range series {
			line := &series[i]
			line.points = append(line.points, capacity.Point{X: float64(n), Y: line.of(costs[0], costs[1])})
		}
		p.Log("%d instances at rest, with shards: a dispatcher %+v, a voter %+v", n, costs[0], costs[1])
		if n != 44 {
			continue
		}
		row := capacity.AtMost(capacity.Bytes, 100, "seats without jobs, sent and received at 44 dispatchers", capacity.Target.Bytes, costs[0].bytesOf(TrafficShards), "B/s", capacity.OnSockets)
		row.Kind = capacity.Seats
		f.AddRows(row)
	}
	for _, line := range series {
		if err := f.AddSlope(line.what, capacity.ByDispatchers, line.unit, capacity.OnSockets, line.kind, line.points); err != nil {
			return err
		}
	}
	return nil
}

// hollowAt returns a cluster of n instances, two of them real, and two real ones beside it. The zone that is lost is
// that of the last instance.
func hollowAt(p CapacityParams, n, percent int) hollowCluster {
	h := hollowCluster{n: n, real: 2, standalone: 2, hosts: 1, peers: true, agreement: true, regionDelay: 20 * time.Millisecond, load: p.Load(percent)}
	h.lostZone = h.load.Place(n)[n-1]
	return h
}

// addClaims adds the claims on how close hollow instances are to real ones, and on whether all instances connect and
// agree again.
func (h hollowCluster) addClaims(p CapacityParams, f *CapacityResult, result hollowResult) {
	suffix := fmt.Sprintf(", %d instances", h.n)
	if result.lateFraction > maxLateFraction {
		f.Void = fmt.Sprintf("%.1f %% of the looks of hollow instances came more than %v late: the machine was too busy", 100*result.lateFraction, hollow.LateThreshold)
	}
	for k, when := range []string{"at rest", "at the peak"} {
		f.Note("hollow, in the places of the real, "+when+": sent"+suffix, result.standIns[k].Sent, "B/s")
		f.Note("hollow, in the places of the real, "+when+": received"+suffix, result.standIns[k].Received, "B/s")
		f.Note("hollow, in the places of the real, "+when+": processor time"+suffix, result.standIns[k].CPU, "ms/s")
	}
	f.Note("looks of hollow instances that came late"+suffix, result.lateFraction, "part")
	for k, phase := range []struct {
		when string
		by   [5]Cost
	}{{"at rest", result.rest}, {"at the peak", result.load}} {
		f.AtMost("bytes of hollow instances differ from real ones', "+phase.when+suffix, hollowTolerance, relativeDifference(comparedBytes(result.standIns[k], p.Quick), comparedBytes(phase.by[groupReal], p.Quick)), "part")
		cpuDifference := relativeDifference(result.standIns[k].CPU, phase.by[groupReal].CPU-phase.by[groupStandalone].CPU)
		// A difference of some milliseconds over a few seconds, beside other work, says little.
		if name := "processor time of hollow instances differs from what real ones' membership, exchange and agreement take, " + phase.when + suffix; p.Quick {
			f.Note(name, cpuDifference, "part")
		} else {
			f.AtMost(name, hollowTolerance, cpuDifference, "part")
		}
	}
	f.AtMost("all that know of a team count the same of it, after a zone's loss and a cut, once work has ended, within"+suffix, h.convergenceBound(), min(result.convergedAfter, 1e6), "s")
	f.Note("teams counted otherwise at the end"+suffix, float64(result.disagreeing), "teams")
	f.Note("teams counted otherwise at the end, for what only some homes heard from the zone that went"+suffix, float64(result.orphaned), "teams")
	f.AtMost("all that live are one cluster then, within"+suffix, h.convergenceBound(), min(result.connectedAfter, 1e6), "s")
	for _, phase := range []struct {
		when string
		by   [5]Cost
	}{{"at rest", result.rest}, {"at the peak", result.load}, {"a zone gone", result.zoneLoss}} {
		for k, group := range []string{"real", "hollow, alone in its process", "real, in no cluster", "hollow, many in a process", "hollow voter"} {
			cost := phase.by[k]
			if cost.Alive == 0 {
				continue
			}
			f.Note(fmt.Sprintf("%s, %s: sent%s", group, phase.when, suffix), cost.Sent, "B/s")
			f.Note(fmt.Sprintf("%s, %s: received%s", group, phase.when, suffix), cost.Received, "B/s")
			f.Note(fmt.Sprintf("%s, %s: processor time%s", group, phase.when, suffix), cost.CPU, "ms/s")
			f.Note(fmt.Sprintf("%s, %s: memory%s", group, phase.when, suffix), cost.Memory/1e6, "MB")
			f.Note(fmt.Sprintf("%s, %s: descriptors%s", group, phase.when, suffix), cost.Descriptors, "")
			if k == groupShared || k == groupVoters {
				for _, kind := range []TrafficKind{TrafficMembership, TrafficPushPull, TrafficExchange, TrafficPushPullUsage, TrafficAgreement} {
					f.Note(fmt.Sprintf("%s, %s: %s, sent%s", group, phase.when, kind, suffix), cost.By[kind].Sent.Bytes, "B/s")
				}
			}
		}
	}
	f.Note("took", result.took.Seconds(), "s")
}

// comparedBytes returns the bytes by which real and hollow instances are compared: all bytes sent and received. In
// quick runs push/pull is left out, because one exchange more or less, in some 5 s, is a third of an instance's bytes
// at rest.
func comparedBytes(c Cost, quick bool) float64 {
	if quick {
		return c.Total() - c.bytesOf(TrafficPushPull, TrafficPushPullUsage)
	}
	return c.Total()
}

// compareVirtualTime runs the same cluster in virtual time and claims that the exchange's bytes are close to those on
// sockets.
func (h hollowCluster) compareVirtualTime(p CapacityParams, f *CapacityResult, result hollowResult) {
	suffix := fmt.Sprintf(", %d instances", h.n)
	virtualRun := &exchangeRun{seed: p.Seed, n: h.n, percent: h.load.Percent, starts: h.load.Percent, settings: h.quotaSettings(), rest: 10, load: 20}
	if p.Quick {
		virtualRun.rest, virtualRun.load = 4, 8
	}
	virtual := virtualRun.play()
	for _, phase := range []struct {
		when       string
		virtual, h float64
	}{{"at rest", virtual.restSent, meanExchangeSent(result.rest)}, {"at the peak", virtual.loadSent, meanExchangeSent(result.load)}} {
		f.AtMost("what counts and loans send in virtual time differs from hollow and real instances', "+phase.when+suffix, hollowTolerance, byteDifference(phase.virtual, phase.h), "part")
		f.Note("virtual time: counts and loans sent, "+phase.when+suffix, phase.virtual, "B/s")
		f.Note("hollow and real: counts and loans sent, "+phase.when+suffix, phase.h, "B/s")
	}
}

// meanExchangeSent returns the bytes that the exchange sends, as the mean of all instances of a cluster.
func meanExchangeSent(costs [5]Cost) (sent float64) {
	n := 0
	for k, cost := range costs {
		if k == groupStandalone {
			continue
		}
		bytes, _ := cost.exchangeBytes()
		sent, n = sent+bytes*float64(cost.Alive), n+cost.Alive
	}
	return sent / float64(n)
}

// addRows compares a run with the target.
func (h hollowCluster) addRows(f *CapacityResult, result hollowResult) {
	suffix, budget := fmt.Sprintf(" at %d dispatchers", h.n), capacity.Target
	add := func(kind capacity.Kind, line, what string, bound, measured float64, unit string) *capacity.Row {
		r := capacity.AtMost(line, h.load.Percent, what+suffix, bound, measured, unit, capacity.OnSockets)
		r.Kind = kind
		f.AddRows(r)
		return &f.Rows[len(f.Rows)-1]
	}
	sumKind := func(k capacity.Kind) capacity.Kind { // the budget is summed at two dispatchers per zone
		if h.n > 100 {
			return ""
		}
		return k
	}
	cost := result.load[groupShared]
	add(sumKind(capacity.Membership), capacity.Bytes, "membership, sent and received, mean of the peak", budget.Bytes, cost.bytesOf(TrafficMembership, TrafficPushPull), "B/s")
	add(sumKind(capacity.Agreement), capacity.Bytes, "agreement, sent and received, one that does not vote", budget.Bytes, cost.bytesOf(TrafficAgreement), "B/s")
	add("", capacity.Bytes, "counts and loans on sockets, sent and received, mean of the peak", budget.Bytes, cost.bytesOf(TrafficExchange, TrafficPushPullUsage), "B/s")
	add("", capacity.Bytes, "the same at rest", budget.Bytes, result.rest[groupShared].bytesOf(TrafficExchange, TrafficPushPullUsage), "B/s")
	add("", capacity.Bytes, "membership, counts and loans, and agreement, the worst second of any dispatcher that does not vote", budget.Bytes, cost.Worst, "B/s").Shown = true
	add("", capacity.Bytes, "agreement, sent and received, mean of the voters", budget.Bytes, result.load[groupVoters].bytesOf(TrafficAgreement), "B/s").Shown = true
	add("", capacity.Core, "membership, counts and loans, and agreement with their sockets, mean of the peak", budget.Core, result.load[groupAlone].CPU/10, "%")
	add("", capacity.Core, "the same, a real process against one in no cluster", budget.Core, (result.load[groupReal].CPU-result.load[groupStandalone].CPU)/10, "%")
	add("", capacity.Core, "the same, mean of the voters, which share a process", budget.Core, result.load[groupVoters].CPU/10, "%").Shown = true
	add("", capacity.Memory, "a whole process", budget.Memory, result.load[groupReal].Memory/1e6, "MB")
	if result.zoneLoss[groupShared].Alive > 0 {
		add("", capacity.ZoneLoss, "membership, counts and loans, and agreement, sent, mean while a zone is gone", exchangeZoneLossSent, result.zoneLoss[groupShared].Sent, "B/s")
	}
	if result.partitioned {
		add("", capacity.Links, "all that know of a team count the same of it, after a zone's loss and two regions apart, once work has ended, within", h.convergenceBound(), min(result.convergedAfter, 1e6), "s")
	}
}
