package quota

// scenarios returns the scenarios of the search, each with one owner of a reservation and with two.
func scenarios() (list []scenario) {
	base := Settings{Period: 1, LeaseDuration: 8, RetainedFraction: 0.02, ExpectedInstances: 2}
	always := [2]int{5, 99}
	const a, b, c = 0, 1, 2
	at := func(instance, tenant int) [2]int { return [2]int{instance, tenant} } // owners of tenant 0 are c, then a; of tenant 1 b, then c
	type demands = map[[2]int][2]int
	for _, owners := range []int{1, 2} {
		set := base
		set.Owners = owners
		allExpected := set
		allExpected.ExpectedInstances = 3
		forget := allExpected
		forget.ForgetAfter = 20
		forgetEarly := forget
		forgetEarly.ForgetAfter = 16
		list = append(list,
			// c joins a and b, and becomes the owner of what a owned and has lent to b.
			scenario{name: "joins", settings: set, start: [3]int{c: 12}, demands: demands{at(b, 0): always, at(a, 1): always}, from: 12, until: 15, end: 32},
			// b's demand for what a has lent ends when c joins: the loans are being revoked meanwhile.
			scenario{name: "joins as demand changes", settings: set, start: [3]int{c: 12}, demands: demands{at(b, 0): {5, 11}, at(a, 1): {5, 12}, at(a, 0): {10, 99}}, from: 10, until: 14, end: 30},
			// Membership never shows c to a, and the two don't receive each other's messages.
			scenario{name: "joins, not seen by one", settings: set, start: [3]int{c: 12}, demands: demands{at(b, 0): always, at(a, 0): always}, cut: [2]int{a, c}, unseen: [2]int{a, c}, from: 12, until: 14, end: 40},
			// What c has lent to b is then demanded at a.
			scenario{name: "lends to another instance", settings: allExpected, demands: demands{at(b, 0): always, at(a, 0): {10, 99}}, from: 10, until: 15, end: 30},
			scenario{name: "restarts while it lends", settings: allExpected, demands: demands{at(b, 0): always, at(c, 1): always}, from: 10, until: 12, end: 30},
			scenario{name: "is cut off from a borrower", settings: allExpected, demands: demands{at(b, 0): always, at(a, 0): always}, cut: [2]int{b, c}, cutAt: 11, from: 7, until: 11, end: 36},
			scenario{name: "leaves", settings: allExpected, leaveAt: [3]int{c: 12}, crashAt: [3]int{c: 15}, demands: demands{at(b, 0): always, at(a, 0): {12, 99}, at(a, 1): always}, from: 11, until: 14, end: 30},
			scenario{name: "leaves, cut off from a borrower", settings: allExpected, leaveAt: [3]int{c: 12}, crashAt: [3]int{c: 15}, demands: demands{at(b, 0): always, at(a, 0): {12, 99}}, cut: [2]int{b, c}, cutAt: 12, from: 11, until: 14, end: 30},
			scenario{name: "is forgotten and restarts", settings: forget, crashAt: [3]int{c: 10}, restartAt: [3]int{c: 29}, demands: demands{at(b, 0): always, at(a, 0): always}, from: 29, until: 32, end: 50},
			scenario{name: "is suspended and forgotten", settings: forget, suspended: [3][2]int{c: {10, 34}}, demands: demands{at(b, 0): always, at(c, 0): always}, from: 9, until: 11, end: 46},
			scenario{name: "restarts early, a and b cut off", settings: allExpected, cut: [2]int{a, b}, unseen: [2]int{a, b}, demands: demands{at(b, 0): always, at(a, 0): always}, from: 0, until: 3, end: 26},
			scenario{name: "changes to flat ownership", settings: allExpected, flatFrom: [3]int{5, 5, 5}, crashAt: [3]int{a: 12}, restartAt: [3]int{a: 13}, demands: demands{at(b, 0): always, at(a, 1): always}, from: 12, until: 15, end: 32},
			scenario{name: "restarts long after its last answers", settings: forgetEarly, crashAt: [3]int{c: 10}, demands: demands{at(b, 0): always, at(a, 0): always}, restartAt: [3]int{c: 32}, from: 9, until: 11, end: 50},
		)
	}
	return list
}
