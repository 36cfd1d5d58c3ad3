package lease

import (
	"encoding/binary"
	"maps"

	"github.com/cespare/xxhash/v2"

	"example.org/bellstream/internal/cluster/config"
)

// EffectiveConfig is the configuration that an instance may act on. It is valid
// until ExpiresAt on the instance's monotonic clock. Callers that keep one must
// check the clock before each use, as the process may have been suspended. A
// later lease does not extend it, since that lease may be for another revision.
type EffectiveConfig struct {
	Revision     Revision
	Leased       bool
	ExpiresAt    float64
	Intersection bool // Table is the intersection of two versions
	// Table is that of the revision while there is a lease, otherwise the
	// fallback of the known versions: see config.Fallback.
	Table *config.Table
}

// DropReason is the reason for dropping a grant.
type DropReason string

// The reasons for dropping a grant. They are values of a metric label.
const (
	Unsolicited      DropReason = "not asked by this process"
	NotOutstanding   DropReason = "of a question that is not out any more"
	ExpiredOnArrival DropReason = "its lease was over as it came"
	WrongCluster     DropReason = "of another cluster"
	StaleRevision    DropReason = "of older rules than are known"
	Undecodable      DropReason = "its rules can't be read"
)

// DroppedGrantError reports a grant that was dropped without effect.
type DroppedGrantError struct {
	Reason DropReason
	Cause  error // nil if nothing but the reason is known
}

func (e *DroppedGrantError) Error() string {
	if e.Cause != nil {
		return e.Cause.Error()
	}
	return "a lease grant was dropped (" + string(e.Reason) + "): nothing to do unless leases expire as well"
}

// Unwrap returns the cause, or nil.
func (e *DroppedGrantError) Unwrap() error { return e.Cause }

// Holder is an instance's side of its lease: it requests and renews the lease and
// decides what the instance may act on. It persists nothing itself: see
// DurableState.
type Holder struct {
	instance    string
	incarnation uint64
	settings    Settings
	cluster     string

	knownRevision   Revision // the highest revision received by any process of the instance
	appliedRevision Revision // the highest revision that the caller has acknowledged
	content         viewContent

	request    outstandingRequest
	expiresAt  float64
	released   bool
	dropCounts map[DropReason]uint64
}

// viewContent is a view with its decoded tables and those derived from them.
type viewContent struct {
	view          *View // nil before the first grant
	digest        uint64
	inForceTable  *config.Table
	nextTable     *config.Table
	leasedTable   *config.Table // in effect while there is a lease
	fallbackTable *config.Table // in effect without a lease
}

// outstandingRequest is the state of the latest request and the schedule of the next one.
type outstandingRequest struct {
	nonce        uint64
	pending      bool // no response has arrived yet
	sentAt       float64
	retrySeconds float64 // time until the next retry, without jitter
	nextAt       float64
}

// NewHolder returns the holder of a process. No two processes of an instance
// may have the same incarnation; the start time combined with random bits is
// sufficiently unique.
func NewHolder(instance string, incarnation uint64, s Settings) *Holder {
	return &Holder{
		instance:    instance,
		incarnation: incarnation,
		settings:    s,
		content:     viewContent{fallbackTable: config.Fallback()},
		request:     outstandingRequest{retrySeconds: s.responseSeconds()},
		dropCounts:  map[DropReason]uint64{},
	}
}

// Restore sets the cluster and the known revision that an earlier process of the
// instance persisted. It has to be called before the first request.
func (h *Holder) Restore(cluster string, r Revision) {
	h.cluster = cluster
	h.knownRevision = r
	h.appliedRevision = r
}

// DurableState returns the arguments for Restore in the next process. They have
// to be on disk before Acknowledge is called.
func (h *Holder) DurableState() (cluster string, r Revision) {
	return h.cluster, h.knownRevision
}

// NextRequest returns the request to send now, if one is due, and the time in
// seconds at which the next one is due.
func (h *Holder) NextRequest(now float64) (request Request, due bool, nextAt float64) {
	if h.released || now < h.request.nextAt {
		return Request{}, false, h.request.nextAt
	}
	h.request.nonce++
	h.request.pending = true
	h.request.sentAt = now
	h.request.nextAt = now + h.request.retrySeconds*(1+h.jitter())
	// A retry invalidates the earlier request, so the interval grows to let responses arrive that take longer than
	// the settings assume.
	h.request.retrySeconds = min(2*h.request.retrySeconds, h.settings.LeaseSeconds/2)
	return Request{
		Cluster:         h.cluster,
		Instance:        h.instance,
		Incarnation:     h.incarnation,
		Nonce:           h.request.nonce,
		AppliedRevision: h.appliedRevision,
		ViewDigest:      h.content.digest,
	}, true, h.request.nextAt
}

// jitter returns a number from 0 to RenewJitter that depends on the instance and
// the request. Without it, instances that were partitioned at the same time would
// send their requests at the same time.
func (h *Holder) jitter() float64 {
	const mantissaBits = 53
	seed := make([]byte, 0, 16+MaxNameBytes)
	seed = binary.LittleEndian.AppendUint64(seed, h.incarnation)
	seed = binary.LittleEndian.AppendUint64(seed, h.request.nonce)
	seed = append(seed, h.instance...)
	return RenewJitter * float64(xxhash.Sum64(seed)>>(64-mantissaBits)) / (1 << mantissaBits)
}

// HandleGrant applies a grant. A grant that is dropped is counted and reported
// as a *DroppedGrantError, whose cause is nil, a *StateLostError, a
// *ClusterMismatchError, a *CorruptMessageError or an error of config.Decode.
// After a grant of a new revision the caller has to act on that revision, then
// call Acknowledge.
func (h *Holder) HandleGrant(now float64, g Grant) error {
	expiresAt := h.request.sentAt + min(g.LeaseSeconds, h.settings.LeaseSeconds)
	if err := h.checkGrant(now, g, expiresAt); err != nil {
		return err
	}
	if g.View != nil {
		if err := h.applyView(g); err != nil {
			return err
		}
	}
	advanced := g.Revision != h.knownRevision
	h.cluster = g.Cluster
	h.knownRevision = g.Revision
	h.expiresAt = expiresAt
	h.scheduleRenewal(now, advanced)
	return nil
}

// checkGrant returns an error if a grant does not answer the pending request or
// the holder must not act on it, and counts the grant as dropped.
func (h *Holder) checkGrant(now float64, g Grant, expiresAt float64) error {
	switch {
	case g.Instance != h.instance || g.Incarnation != h.incarnation || h.released:
		return h.drop(Unsolicited, nil)
	case g.Cluster == "" || h.cluster != "" && g.Cluster != h.cluster:
		return h.drop(WrongCluster, &ClusterMismatchError{Local: h.cluster, Remote: g.Cluster})
	case !h.request.pending || g.Nonce != h.request.nonce:
		return h.drop(NotOutstanding, nil)
	case !(now < expiresAt):
		return h.drop(ExpiredOnArrival, nil)
	case g.Revision.Compare(h.knownRevision) < 0:
		return h.drop(StaleRevision, &StateLostError{Known: h.knownRevision, Reported: g.Revision})
	case g.View == nil && (h.content.view == nil || h.content.view.Revision != g.Revision):
		return h.drop(Undecodable, &CorruptMessageError{Subject: subjectGrant, Reason: "no view of its revision"})
	}
	return nil
}

// scheduleRenewal sets the time of the next request after a grant.
func (h *Holder) scheduleRenewal(now float64, advanced bool) {
	h.request.pending = false
	h.request.retrySeconds = h.settings.responseSeconds()
	h.request.nextAt = h.request.sentAt + h.settings.RenewIntervalSeconds*(1-h.jitter())
	if advanced {
		// The next request acknowledges the revision, and the next stage waits for that. If responses take longer than
		// the interval, the next request would be due now, before the event loop has acted on the revision, and the
		// acknowledgement would have to wait for one more response.
		delay := min(h.settings.PollIntervalSeconds, h.settings.RenewIntervalSeconds)
		h.request.nextAt = max(h.request.nextAt, now+delay)
	}
}

// applyView decodes the view of a grant and makes it the current one.
func (h *Holder) applyView(g Grant) error {
	digest := g.View.Digest()
	if digest == h.content.digest {
		return nil
	}
	if h.content.view != nil && h.content.view.Revision == g.Revision {
		// The voters lost their files and have since reached the same version number with another configuration.
		return h.drop(StaleRevision, &StateLostError{Known: h.knownRevision, Reported: g.Revision})
	}
	if g.View.Revision != g.Revision || g.View.Cluster != g.Cluster {
		return h.drop(Undecodable, &CorruptMessageError{
			Subject: subjectGrant,
			Reason:  "its view is of another revision or cluster",
		})
	}
	content, err := h.content.decodeView(g.View, digest)
	if err != nil {
		return h.drop(Undecodable, err)
	}
	h.content = content
	return nil
}

// decodeView decodes the tables of a view. It reuses tables that c already has.
func (c viewContent) decodeView(v *View, digest uint64) (viewContent, error) {
	inForce, err := c.decodeTable(v.InForce)
	if err != nil {
		return viewContent{}, err
	}
	decoded := viewContent{
		view:         v,
		digest:       digest,
		inForceTable: inForce,
		leasedTable:  inForce,
	}
	if v.Next.Number == 0 {
		decoded.fallbackTable = config.Fallback(inForce)
		return decoded, nil
	}
	next, err := c.decodeTable(v.Next)
	if err != nil {
		return viewContent{}, err
	}
	decoded.nextTable = next
	decoded.fallbackTable = config.Fallback(inForce, next)
	if v.Revision.Stage == StageIntersection {
		decoded.leasedTable = config.Intersection(inForce, next)
	}
	return decoded, nil
}

// decodeTable returns a version's table, decoding it unless c already has it.
func (c viewContent) decodeTable(v Version) (*config.Table, error) {
	if c.view != nil {
		switch {
		case c.view.InForce.equal(v):
			return c.inForceTable, nil
		case c.view.Next.equal(v):
			return c.nextTable, nil
		}
	}
	return v.decodeTable()
}

// drop counts a dropped grant and returns the error that reports it.
func (h *Holder) drop(r DropReason, cause error) error {
	h.dropCounts[r]++
	return &DroppedGrantError{Reason: r, Cause: cause}
}

// DropCounts returns the number of dropped grants by reason.
func (h *Holder) DropCounts() map[DropReason]uint64 {
	return maps.Clone(h.dropCounts)
}

// EffectiveConfig returns the configuration to act on now. Whether there is a
// lease is decided by the clock, not by a timer, so the result is also right
// after the process was suspended.
func (h *Holder) EffectiveConfig(now float64) EffectiveConfig {
	effective := EffectiveConfig{
		Revision:  h.knownRevision,
		ExpiresAt: h.expiresAt,
		Table:     h.content.fallbackTable,
	}
	if !h.released && h.content.view != nil && now < h.expiresAt {
		effective.Leased = true
		effective.Table = h.content.leasedTable
		effective.Intersection = h.content.view.Revision.Stage == StageIntersection
	}
	return effective
}

// Acknowledge records that no part of this instance acts on a lower revision
// than r any more. The DurableState has to be on disk before the call. The next
// request becomes due now and reports r to the leader, which advances to the
// next stage only after that. Calling Acknowledge too early violates the
// protocol's invariants.
func (h *Holder) Acknowledge(now float64, r Revision) {
	if r.Compare(h.knownRevision) > 0 || r.Compare(h.appliedRevision) <= 0 {
		return
	}
	h.appliedRevision = r
	h.request.nextAt = min(h.request.nextAt, now)
}

// View returns the newest view received by this process, or nil.
func (h *Holder) View() *View {
	return h.content.view
}

// Err returns nil while there is a lease, otherwise an *ExpiredError.
func (h *Holder) Err(now float64) error {
	switch {
	case h.EffectiveConfig(now).Leased:
		return nil
	case h.expiresAt == 0:
		return &ExpiredError{KnownRevision: h.knownRevision}
	}
	return &ExpiredError{KnownRevision: h.knownRevision, ExpiredSeconds: now - h.expiresAt}
}

// Release ends the lease. It is called at the end of a graceful shutdown, when
// the instance no longer acts on any version. The returned message allows the
// leader to advance to the next stage before the lease expires.
func (h *Holder) Release() Release {
	h.released = true
	return Release{
		Cluster:     h.cluster,
		Instance:    h.instance,
		Incarnation: h.incarnation,
	}
}
