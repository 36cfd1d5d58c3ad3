package quota

import (
	"runtime"
	"sync"
	"testing"
)

// searcher executes all runs of a scenario.
type searcher struct {
	scenario scenario
	disabled safetyRules

	mu        sync.Mutex
	runs      int
	violation *run // the first run in which allotments exceed a reservation
}

// search runs a scenario with every placement of up to maxFaults faults, one of which may be a restart if these are
// enabled. It returns the number of runs, and the first one with a violation, nil if there is none.
func search(s scenario, disabled safetyRules, maxFaults int, restarts bool) (n int, violation *run) {
	x := &searcher{scenario: s, disabled: disabled}
	for _, restart := range x.restarts(restarts) {
		if x.violationFound() {
			break
		}
		faults := maxFaults
		if restart[0] >= 0 {
			faults--
		}
		x.placeFaults(restart, faults)
	}
	return x.runs, x.violation
}

// restarts returns the instance and tick of each possible restart, and first -1, -1 for no restart.
func (x *searcher) restarts(enabled bool) [][2]int {
	list := [][2]int{{-1, -1}}
	if !enabled {
		return list
	}
	for i := range 3 {
		for tick := x.scenario.from; tick < x.scenario.until; tick++ {
			list = append(list, [2]int{i, tick})
		}
	}
	return list
}

// executeRun executes one run and returns how many messages and notices were sent that a fault may hit.
func (x *searcher) executeRun(faults map[int]fault, restart [2]int) int {
	p := &run{scenario: x.scenario, disabled: x.disabled, faults: faults, restart: restart}
	violation := p.execute()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.runs++
	if violation != "" && x.violation == nil {
		p.log = []string{violation}
		x.violation = p
	}
	return p.sends
}

// violationFound reports whether a run had a violation, so that the search can end.
func (x *searcher) violationFound() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.violation != nil
}

// placeFaults executes a run for every placement of up to the given number of faults, in parallel on all processors.
func (x *searcher) placeFaults(restart [2]int, faults int) {
	sends := x.executeRun(nil, restart)
	if faults < 1 {
		return
	}
	var wait sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range sends {
		slots <- struct{}{}
		wait.Go(func() {
			x.placeAt(i, restart, faults)
			<-slots
		})
	}
	wait.Wait()
}

// placeAt executes a run for every kind of fault at send i, and with two faults for every second fault after it.
func (x *searcher) placeAt(i int, restart [2]int, faults int) {
	for first := range faultKinds {
		if x.violationFound() {
			return
		}
		sends := x.executeRun(map[int]fault{i: first}, restart)
		if faults < 2 {
			continue
		}
		for k := i + 1; k < sends && !x.violationFound(); k++ {
			for second := range faultKinds {
				x.executeRun(map[int]fault{i: first, k: second}, restart)
			}
		}
	}
}

// In no run with up to two faults, of which one may be a restart, do allotments add up to more than a reservation.
func TestSearchNeverAboveReservation(t *testing.T) {
	maxFaults := 2
	if testing.Short() {
		maxFaults = 1
	}
	for _, s := range scenarios() {
		n, violation := search(s, safetyRules{}, maxFaults, true)
		t.Logf("%s, %d owners: %d runs", s.name, s.settings.Owners, n)
		if violation != nil {
			t.Errorf("%s", violation.trace())
		}
	}
}

// Each safety rule is needed: with any one of them disabled, allotments exceed a reservation in some run.
func TestSearchNeedsEachRule(t *testing.T) {
	for name, disabled := range map[string]safetyRules{
		"all instances have the same view":                  {joining: joiningRules{matchingViews: true}},
		"loans from larger parts are revoked first":         {joining: joiningRules{loansCovered: true}},
		"a silent instance is waited for":                   {joining: joiningRules{silentPeers: true}},
		"only an answer to this incarnation counts":         {joining: joiningRules{acknowledgement: true}},
		"only a recent answer counts":                       {joining: joiningRules{recentAck: true}},
		"loans of a leaving instance are waited for":        {lending: lendingRules{leaverLoans: true}},
		"a loan is deducted before it is sent":              {lending: lendingRules{deductFirst: true}},
		"a loan expires relative to the borrower's sending": {lending: lendingRules{expiryFromSend: true}},
		"the return of a loan is confirmed first":           {lending: lendingRules{confirmedReturn: true}},
		"a message is dropped after a later one":            {receiving: receivingRules{messageOrder: true}},
		"incarnations are distinguished":                    {receiving: receivingRules{incarnations: true}},
		"a suspended instance owns nothing":                 {joining: joiningRules{suspension: true}},
		"instances that were never seen are counted":        {ownership: ownershipRules{unseenInstances: true}},
		"loans of an earlier incarnation count as lent":     {joining: joiningRules{pastLoans: true}},
		"a change of ownership mode gives up everything":    {ownership: ownershipRules{ownershipChange: true}},
	} {
		t.Run(name, func(t *testing.T) {
			for maxFaults := 0; maxFaults <= 2; maxFaults++ {
				for _, s := range scenarios() {
					if n, violation := search(s, disabled, maxFaults, true); violation != nil {
						t.Logf("violation found: %s, %d owners, faults %v, restart %v, %d runs",
							s.name, s.settings.Owners, violation.faults, violation.restart, n)
						return
					}
				}
			}
			t.Error("no run has a violation when this rule is disabled")
		})
	}
}
