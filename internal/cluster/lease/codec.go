package lease

import (
	"slices"
	"strings"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"
)

//go:generate sh -c "cd pb && go run example.org/bellstream/internal/tools/protogen lease.proto"

// Limits of encoded messages. MaxMessageBytes applies to requests, grants and
// releases; requests and releases are below 1 KiB on the wire.
const (
	MaxEntryBytes    = MaxTableBytes + 16<<10
	MaxMessageBytes  = 2*MaxTableBytes + 4<<10
	MaxSnapshotBytes = 2*MaxTableBytes + 512<<10
)

// maxOmittedKeys bounds Change.OmittedKeys so that it fits an int of 32 bits.
const maxOmittedKeys = 1 << 30

// Names of the messages and reasons in errors.
const (
	subjectEntry    = "an entry"
	subjectSnapshot = "a snapshot"
	subjectRequest  = "a lease request"
	subjectGrant    = "a lease grant"
	subjectRelease  = "a lease release"

	reasonInvalidField = "invalid value or name"
)

// validSender reports whether the fields that identify a message's sender are
// valid. The cluster is empty if the instance does not know its cluster yet.
func validSender(cluster, instance string, incarnation uint64) bool {
	return validName(instance) && (cluster == "" || validName(cluster)) && incarnation != 0
}

func validName(name string) bool {
	return name != "" && len(name) <= MaxNameBytes && utf8.ValidString(name)
}

func validKeys(keys []string) bool {
	invalid := func(key string) bool {
		return len(key) > MaxKeyBytes || !utf8.ValidString(key)
	}
	return len(keys) <= MaxChangeKeys && !slices.ContainsFunc(keys, invalid)
}

// truncateKey shortens a key to MaxKeyBytes and replaces bytes that are not valid UTF-8.
func truncateKey(key string) string {
	const ellipsis = "..."
	key = strings.ToValidUTF8(key, "?")
	if len(key) <= MaxKeyBytes {
		return key
	}
	return strings.ToValidUTF8(key[:MaxKeyBytes-len(ellipsis)], "") + ellipsis
}

func unmarshal(subject string, raw []byte, maxBytes int, message proto.Message) error {
	if len(raw) > maxBytes {
		return &CorruptMessageError{Subject: subject, Reason: "too large"}
	}
	if err := proto.Unmarshal(raw, message); err != nil {
		return &CorruptMessageError{Subject: subject, Reason: "invalid encoding"}
	}
	return nil
}

// marshal encodes a message. It panics on an error, which only strings that are
// not valid UTF-8 can cause; callers have validated all strings.
func marshal(message proto.Message) []byte {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		panic(err)
	}
	return raw
}
