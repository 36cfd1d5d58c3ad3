package dispatcher

import (
	"context"
	"strings"
	"testing"
	"time"

	"example.org/bellstream/internal/route"
	"example.org/bellstream/internal/settings"
	"example.org/bellstream/internal/wiretest"
)

// reload puts other settings into force: the rig's own with replacements.
func (r *rig) reload(oldnew ...string) {
	r.t.Helper()
	s, err := settings.Parse([]byte(strings.NewReplacer(oldnew...).Replace(options)))
	if err != nil {
		r.t.Fatal(err)
	}
	r.take(retuned{s})
	r.pass(4 * time.Millisecond)
}

// Who keeps the watch open changes with the settings. Whatever it stands at then, one is open soon
// behind a change, and is asked for again when it ends.
func TestWhoAsksChanges(t *testing.T) {
	for _, ended := range []bool{false, true} {
		r := newRig(t)
		wiretest.Get(t, r.watches, "the module's watch")
		r.take(routeNews{watch: r.watchNo, up: &route.Update{Seq: 1}})
		for _, mode := range []string{"pushed", "on_request", "pushed"} {
			if ended {
				r.take(routeNews{watch: r.watchNo, err: context.DeadlineExceeded})
				r.pass(4 * time.Millisecond)
			}
			no := r.watchNo
			r.reload("on_request", mode)
			if r.pass(4 * time.Second); ended == (r.watchNo == no) || len(r.watches) > 1 {
				t.Fatalf("%s, with the watch ended %v: asked %d times", mode, ended, r.watchNo-no)
			}
			if ended {
				wiretest.Get(t, r.watches, mode+": a watch")
			}
			r.take(routeNews{watch: r.watchNo, up: &route.Update{Seq: 1}})
		}
	}
}
