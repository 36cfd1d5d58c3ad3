package service

import (
	"strings"
	"time"

	"example.org/bellstream/internal/handoff"
	"example.org/bellstream/internal/handoff/statedir"
)

// sharedIDs shares the ids of requests with the other processes through the state directory.
type sharedIDs struct{ member *statedir.Membership }

// Retain implements [dispatcher.SharedIDs].
func (s sharedIDs) Retain(retention time.Duration) { s.member.RetainJobIDs(retention) }

// PublishAccepted implements [dispatcher.SharedIDs].
func (s sharedIDs) PublishAccepted(id string) { s.member.PublishJobIDs([]string{id}) }

// PublishSent implements [dispatcher.SharedIDs].
func (s sharedIDs) PublishSent(id string) { s.member.PublishJobIDs([]string{handoff.SentPrefix + id}) }

// ReadNew implements [dispatcher.SharedIDs].
func (s sharedIDs) ReadNew(each func(id string, isSent bool)) {
	for ids := s.member.ReadJobIDs(); len(ids) > 0; ids = s.member.ReadJobIDs() {
		for _, id := range ids {
			id, isSent := strings.CutPrefix(id, handoff.SentPrefix)
			each(id, isSent)
		}
	}
}
