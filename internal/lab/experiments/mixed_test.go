package experiments

import (
	"os"
	"testing"
)

// Runs experiments in which every second instance of a cluster is an earlier build, as during a rolling restart.
// BELLSTREAM_EARLIER names its executable. The claims are the same as with one build: no job is lost or runs twice,
// no reservation is oversold, and no two instances act on contradicting versions.
func TestMixedBuilds(t *testing.T) {
	earlier := os.Getenv("BELLSTREAM_EARLIER")
	if earlier == "" {
		t.Skip("BELLSTREAM_EARLIER names no executable of an earlier build")
	}
	for _, name := range []string{"counts", "agreed", "rebalance", "clusters-real"} {
		t.Run(name, func(t *testing.T) {
			result, err := Find(name).Play(Params{
				Seed:         1,
				Quick:        true,
				Out:          t.TempDir(),
				Program:      program(t),
				earlierBuild: earlier,
				Log:          t.Logf,
			})
			if err != nil {
				t.Fatal(err)
			}
			for _, claim := range result.Claims {
				t.Logf("%s: %v, bound %v %s", claim.Name, claim.Measured, claim.Bound, claim.Unit)
				if !claim.Held {
					t.Errorf("claim does not hold: %s", claim.Name)
				}
			}
			if result.Void != "" {
				t.Errorf("result is void: %s", result.Void)
			}
		})
	}
}
