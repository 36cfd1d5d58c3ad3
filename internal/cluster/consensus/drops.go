package consensus

import (
	"errors"

	"example.org/bellstream/internal/cluster/consensus/wire"
	"example.org/bellstream/internal/cluster/mesh/peerconn"
)

// Reasons for dropping frames, in addition to those of package wire. They are
// values of a metric's label.
const (
	dropOutboxFull         = "outbox full"
	dropInboxFull          = "inbox full"
	dropWrongIdentity      = "of another identity"
	dropUnknownSender      = "sender unknown"
	dropWrongRecipient     = "meant for another voter"
	dropNotVoting          = "does not vote here"
	dropTooManyConnections = "too many connections"
	dropLateResponse       = "answer too late"
)

var decodeErrors = []error{
	wire.ErrChecksum,
	wire.ErrMalformed,
	wire.ErrWrongCluster,
	wire.ErrUnsupportedVersion,
	wire.ErrTooLarge,
}

// countDecodeError counts a frame that could not be decoded. Other errors, such as
// those of the connection, are not counted.
func countDecodeError(drops *peerconn.DropCounters, err error) {
	for _, reason := range decodeErrors {
		if errors.Is(err, reason) {
			drops.Add(reason.Error())
		}
	}
}

// dropCounts returns the number of dropped frames by reason. The map is never nil,
// so that JSON output has {} rather than null.
func dropCounts(drops *peerconn.DropCounters) map[string]uint64 {
	counts := drops.Snapshot()
	if counts == nil {
		return map[string]uint64{}
	}
	return counts
}
