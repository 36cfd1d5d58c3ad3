package quota

// safetyRules lists the rules that keep the sum of the allotments within the reservation. A field
// that is true disables its rule. The exhaustive search in the tests disables them one at a time, to
// show that each is needed. Outside of tests no rule is ever disabled.
type safetyRules struct {
	joining   joiningRules
	lending   lendingRules
	receiving receivingRules
	ownership ownershipRules
}

// joiningRules have to be met before an instance owns anything.
type joiningRules struct {
	matchingViews   bool // all members count the same instances
	loansCovered    bool // all members have been returned what they lent of larger parts
	silentPeers     bool // joining waits for silent peers
	acknowledgement bool // each member has acknowledged this incarnation
	recentAck       bool // that acknowledgement is recent
	suspension      bool // a suspended instance has to join again
	pastLoans       bool // loans of an earlier incarnation count as lent until they expire
}

// lendingRules have to be met by loans.
type lendingRules struct {
	leaverLoans     bool // loans of an instance that left expire before its parts are reassigned
	deductFirst     bool // a loan is deducted before it is sent
	expiryFromSend  bool // a loan's lease starts when the borrower sent the acknowledged message
	confirmedReturn bool // a reduction of a loan takes effect once the borrower confirms it
}

// receivingRules have to be met by received messages.
type receivingRules struct {
	messageOrder bool // a message that arrives after one of a later round is dropped
	incarnations bool // messages and loans of ended incarnations are rejected
}

// ownershipRules have to be met by the assignment of owners.
type ownershipRules struct {
	unseenInstances bool // expected instances that were never seen count
	ownershipChange bool // a change of the mode of ownership gives up everything owned
	unknownBuilds   bool // a message of an unknown instance of an earlier build counts
}
