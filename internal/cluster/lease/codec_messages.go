package lease

import (
	"example.org/bellstream/internal/cluster/lease/pb"
)

// Marshal encodes the request.
func (r Request) Marshal() []byte {
	return marshal(&pb.Request{
		Cluster:         r.Cluster,
		Instance:        r.Instance,
		Incarnation:     r.Incarnation,
		Nonce:           r.Nonce,
		AppliedRevision: r.AppliedRevision.toProto(),
		ViewDigest:      r.ViewDigest,
	})
}

// UnmarshalRequest decodes a request. Its error is a *CorruptMessageError.
func UnmarshalRequest(raw []byte) (Request, error) {
	var message pb.Request
	if err := unmarshal(subjectRequest, raw, MaxMessageBytes, &message); err != nil {
		return Request{}, err
	}
	applied, ok := revisionFromProto(message.AppliedRevision)
	if !ok || !validSender(message.Cluster, message.Instance, message.Incarnation) {
		return Request{}, &CorruptMessageError{Subject: subjectRequest, Reason: reasonInvalidField}
	}
	return Request{
		Cluster:         message.Cluster,
		Instance:        message.Instance,
		Incarnation:     message.Incarnation,
		Nonce:           message.Nonce,
		AppliedRevision: applied,
		ViewDigest:      message.ViewDigest,
	}, nil
}

// Marshal encodes the grant.
func (g Grant) Marshal() []byte {
	message := &pb.Grant{
		Cluster:      g.Cluster,
		Instance:     g.Instance,
		Incarnation:  g.Incarnation,
		Nonce:        g.Nonce,
		LeaseSeconds: g.LeaseSeconds,
		Revision:     g.Revision.toProto(),
	}
	if g.View != nil {
		message.View = g.View.toProto()
	}
	return marshal(message)
}

// UnmarshalGrant decodes a grant. Its error is a *CorruptMessageError.
func UnmarshalGrant(raw []byte) (Grant, error) {
	var message pb.Grant
	if err := unmarshal(subjectGrant, raw, MaxMessageBytes, &message); err != nil {
		return Grant{}, err
	}
	revision, ok := revisionFromProto(message.Revision)
	validLease := message.LeaseSeconds > 0 && message.LeaseSeconds <= MaxLeaseSeconds
	if !ok || !validName(message.Instance) || !validName(message.Cluster) || !validLease {
		return Grant{}, &CorruptMessageError{Subject: subjectGrant, Reason: reasonInvalidField}
	}
	grant := Grant{
		Cluster:      message.Cluster,
		Instance:     message.Instance,
		Incarnation:  message.Incarnation,
		Nonce:        message.Nonce,
		LeaseSeconds: message.LeaseSeconds,
		Revision:     revision,
	}
	if message.View != nil {
		view, ok := viewFromProto(message.View)
		if !ok {
			return Grant{}, &CorruptMessageError{Subject: subjectGrant, Reason: "invalid view"}
		}
		grant.View = view
	}
	return grant, nil
}

// Marshal encodes the release.
func (r Release) Marshal() []byte {
	return marshal(&pb.Release{
		Cluster:     r.Cluster,
		Instance:    r.Instance,
		Incarnation: r.Incarnation,
	})
}

// UnmarshalRelease decodes a release. Its error is a *CorruptMessageError.
func UnmarshalRelease(raw []byte) (Release, error) {
	var message pb.Release
	if err := unmarshal(subjectRelease, raw, MaxMessageBytes, &message); err != nil {
		return Release{}, err
	}
	if !validSender(message.Cluster, message.Instance, message.Incarnation) {
		return Release{}, &CorruptMessageError{Subject: subjectRelease, Reason: reasonInvalidField}
	}
	return Release{
		Cluster:     message.Cluster,
		Instance:    message.Instance,
		Incarnation: message.Incarnation,
	}, nil
}
