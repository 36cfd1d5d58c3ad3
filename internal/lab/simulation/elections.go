package simulation

import (
	cryptorand "crypto/rand"
	"io"
	"sync"
)

// electionMu guards the process-wide source of randomness while a run has replaced it.
var electionMu sync.Mutex

// withElectionSource calls play while raft draws its election timeouts from source. Raft takes them from
// crypto/rand.Reader and offers no other way to seed them.
func withElectionSource(source io.Reader, play func()) {
	electionMu.Lock()
	defer electionMu.Unlock()
	system := cryptorand.Reader
	cryptorand.Reader = source
	defer func() { cryptorand.Reader = system }()
	play()
}
