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
	violation *run // the first run that has more than a reservation in use
}

// search runs a scenario with every placement of up to so many faults, one of which may be
// a restart. It returns how many runs there were, and the first that is a violation.
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

// restarts are the instances and ticks of a restart; -1: none.
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

// executeRun executes one run and returns how many things were sent that a fault may affect.
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

func (x *searcher) violationFound() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.violation != nil
}

// placeFaults runs every placement of up to so many faults, on all processors.
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

// placeAt runs every kind of fault at one place, and every second fault after it.
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

// No run with up to two faults, of which one may be a restart, has more than a reservation in use.
func TestSearchNeverAboveReservation(t *testing.T) {
	most := 2
	if testing.Short() {
		most = 1
	}
	for _, s := range scenarios() {
		n, bad := search(s, safetyRules{}, most, true)
		t.Logf("%s, %d owners: %d runs", s.name, s.settings.Owners, n)
		if bad != nil {
			t.Errorf("%s", bad.trace())
		}
	}
}

// Without any one of the rules some run has more than a reservation in use.
func TestSearchNeedsEachRule(t *testing.T) {
	for name, without := range map[string]safetyRules{
		"all count the same instances":                  {joining: joiningRules{matchingViews: true}},
		"loans of larger parts are called back first":   {joining: joiningRules{loansCovered: true}},
		"a silent one is not passed over":               {joining: joiningRules{silentPeers: true}},
		"only an answer to this incarnation counts":     {joining: joiningRules{acknowledgement: true}},
		"only a fresh answer counts":                    {joining: joiningRules{recentAck: true}},
		"a leaver's loans are waited for":               {lending: lendingRules{leaverLoans: true}},
		"what is lent is written off before it is sent": {lending: lendingRules{deductFirst: true}},
		"a loan counts from when its echo was sent":     {lending: lendingRules{expiryFromSend: true}},
		"what is taken back is confirmed first":         {lending: lendingRules{confirmedReturn: true}},
		"what was overtaken is dropped":                 {receiving: receivingRules{messageOrder: true}},
		"lives are told apart":                          {receiving: receivingRules{incarnations: true}},
		"a suspended instance owns nothing":             {joining: joiningRules{suspension: true}},
		"who was never seen is counted":                 {ownership: ownershipRules{unseenInstances: true}},
		"who starts again has lent before":              {joining: joiningRules{pastLoans: true}},
		"a change of mode gives everything up":          {ownership: ownershipRules{ownershipChange: true}},
	} {
		t.Run(name, func(t *testing.T) {
			for most := 0; most <= 2; most++ {
				for _, s := range scenarios() {
					if n, bad := search(s, without, most, true); bad != nil {
						t.Logf("found: %s, %d owners, faults %v, restart %v, among %d", s.name, s.settings.Owners, bad.faults, bad.restart, n)
						return
					}
				}
			}
			t.Error("no run is a violation without this rule")
		})
	}
}
