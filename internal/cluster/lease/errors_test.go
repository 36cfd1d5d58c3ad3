package lease

import (
	"bytes"
	"os"
	"regexp"
	"testing"
)

// Every error has to say what to do. The configuration keys and pages that it names have to exist.
func TestErrorsReferToExistingKeysAndPages(t *testing.T) {
	block, err := os.ReadFile("../../operatorconfig/lease.go")
	if err != nil {
		t.Fatal(err)
	}
	p := Revision{7, StageIntersection}
	s := DefaultSettings
	s.RenewIntervalSeconds = 2
	for _, err := range []error{
		s.Validate(), &ExpiredError{}, &ExpiredError{p, 3}, &StaleProposalError{1, 2, []Change{{2, 1, "n2", []string{"out"}, 1}}}, &ProposalInProgressError{p, "n2"},
		&ClusterMismatchError{"a", "b"}, &StateLostError{p, Revision{6, StageInForce}}, &NotLeaderError{}, &NotReadyError{"start them"}, &TooManyHoldersError{},
		&StaleEntryError{"the step"}, &CorruptMessageError{"an entry", "cut"}, &UnsupportedFormatError{"an entry"}, &DroppedGrantError{Reason: NotOutstanding},
	} {
		text := err.Error()
		if !regexp.MustCompile(`at most|check that|send SIGHUP|stop|propose|upgrade|start|nothing to do`).MatchString(text) {
			t.Errorf("%T does not say what to do: %s", err, text)
		}
		for _, key := range regexp.MustCompile(`accord\.([a-z]+)\b`).FindAllStringSubmatch(text, -1) {
			if key[1] != "md" && !bytes.Contains(block, []byte(`hcl:"`+key[1])) {
				t.Errorf("error \"%s\" names the key %s, which the accord block does not have", text, key[0])
			}
		}
		for _, page := range regexp.MustCompile(`docs/[a-z/]+\.md`).FindAllString(text, -1) {
			if _, err := os.Stat("../../../" + page); err != nil {
				t.Errorf("error \"%s\" names a page that does not exist: %v", text, err)
			}
		}
	}
}
