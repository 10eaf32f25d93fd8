package confsync

import "time"

// Proof states that a revision could be relied on at an instant. A proof of the table states
// that the head row had this revision. A proof of an outage, called a grant, states that more
// than half of the entry nodes could not reach the table and none of them had a newer
// revision.
//
// Between processes the instant is sent as an age, never as a clock reading.
type Proof struct {
	Revision uint64
	// At is the instant as the time since the start of the process that holds the proof. It
	// may be earlier than the true instant, never later.
	At time.Duration
	// Valid is false in the zero value, which proves nothing.
	Valid bool
}

// newer reports whether p is more recent than q, or valid while q is not.
func (p Proof) newer(q Proof) bool {
	if !p.Valid || !q.Valid {
		return p.Valid
	}
	return p.At > q.At
}

// SentProof is a proof as sent to a peer.
type SentProof struct {
	Revision uint64
	// Age is the time from the proof's instant to the receipt of the peer's call. It is
	// negative if the proof's instant is later, because the call was held.
	//
	// The peer subtracts it from the instant at which it sent the call. A call is received
	// after it was sent, so that the result is never later than the true instant, even if
	// the reply was buffered, either process was paused or the clocks differ.
	Age   time.Duration
	Valid bool
}

// send returns the proof as sent in response to a call received at an instant.
func (p Proof) send(received time.Duration) SentProof {
	if !p.Valid {
		return SentProof{}
	}
	return SentProof{Revision: p.Revision, Age: received - p.At, Valid: true}
}
