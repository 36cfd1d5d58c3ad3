package capacity

// Voters is the region of each voter; each voter has a machine of its own.
var Voters = []int{0, 1, 2, 3, 4}

// VoterPlacementRows returns the rows that follow from the regions of the voters.
func VoterPlacementRows() []Row {
	left := len(Voters)
	for region := range Target.Regions {
		n := 0
		for _, r := range Voters {
			if r != region {
				n++
			}
		}
		left = min(left, n)
	}
	return []Row{
		AtLeast(Regions, 100, "voters left of five when any region goes; a majority is three", float64(len(Voters)/2+1), float64(left), "voters", Computed),
		AtMost(Machines, 100, "machines that only control stands on: the voters'; dispatchers stand beside workers", float64(Target.Machines), float64(len(Voters)), "machines", Computed),
	}
}
