package dispatcher

import (
	"net/http"
	"time"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/downstream"
)

// SharedIDs are the ids of requests that the processes of one dispatcher have accepted and sent. The loop publishes an
// id before it reads what the others have published: of two processes with the same id at least one finds it at the
// other. Its methods are called on the loop and must not wait for another process.
type SharedIDs interface {
	Retain(time.Duration)                      // sets how long published ids are needed
	PublishAccepted(id string)                 // before the request is accepted
	PublishSent(id string)                     // before the first attempt of a job that must not run twice
	ReadNew(each func(id string, isSent bool)) // what others have published since the last call
}

// ShareIDs makes the loop share ids with other processes. It must be called before Run.
func (d *Dispatcher) ShareIDs(shared SharedIDs) {
	d.sharedIDs = shared
	d.retainIDs()
}

func (d *Dispatcher) retainIDs() {
	if d.sharedIDs != nil {
		d.sharedIDs.Retain(time.Duration(d.recentIDs.retention * float64(time.Second)))
	}
}

// acceptID reports whether the id of a new request is in use neither here nor at another process, and was not used
// recently. From then on it is in use here.
func (d *Dispatcher) acceptID(id string) bool {
	if d.requests[id] != nil || !d.recentIDs.add(id, d.clock()) {
		return false
	}
	if d.sharedIDs == nil {
		return true
	}
	d.sharedIDs.PublishAccepted(id)
	accepted, sent := d.readSharedIDs(id)
	return !accepted && !sent
}

// acceptSend reports whether no other process has sent a request. It is called before the first attempt.
func (d *Dispatcher) acceptSend(r *request) bool {
	id := r.inbound.ID
	if !d.recentIDs.addSent(id, r.atMostOnce(), d.clock()) {
		return false
	}
	if d.sharedIDs == nil || !r.atMostOnce() {
		return true
	}
	d.sharedIDs.PublishSent(id)
	_, sent := d.readSharedIDs(id)
	return !sent
}

// readSharedIDs remembers the ids that others have published since the last call, and reports whether one of them,
// which may be empty, is among those accepted and those sent.
func (d *Dispatcher) readSharedIDs(id string) (accepted, sent bool) {
	if d.sharedIDs == nil {
		return false, false
	}
	now := d.clock()
	d.sharedIDs.ReadNew(func(other string, isSent bool) {
		if isSent {
			sent = sent || other == id
			d.recentIDs.addSent(other, true, now)
			return
		}
		accepted = accepted || other == id
		d.recentIDs.add(other, now)
	})
	return accepted, sent
}

// usedIDAnswer is the answer to a request whose id was used before.
func usedIDAnswer() downstream.Answer {
	return downstream.Answer{Status: http.StatusConflict, Body: []byte("this Request-Id was used before\n")}
}

// answerSentElsewhere answers a request that another process has sent to a worker.
func (d *Dispatcher) answerSentElsewhere(r *request) {
	d.Log("request %s: another process of this dispatcher has sent a request with this id", r.inbound.ID)
	d.addEvent(balance.ClientDisconnected{ID: r.inbound.ID})
	d.answer(r, usedIDAnswer())
}

// rejectsAtMostOnce reports whether a new request is rejected because so many ids have to be remembered that its own
// could not be.
func (d *Dispatcher) rejectsAtMostOnce(in *downstream.Request) bool {
	if !d.recentIDs.full(d.clock()) || d.classDefinition(in).Idempotence == balance.Idempotent {
		return false
	}
	d.logLimited("ids", "rejecting jobs that must not run twice: %d ids were sent to workers within %v s",
		d.recentIDs.sent.limit, d.recentIDs.retention)
	return true
}
