package confsync

import "time"

// Proof says that at an instant a revision could be relied on. A proof of the
// table says that the head row had this revision; a proof of an outage (a
// grant) says that more than half of the entry nodes were without the table
// and none of them had a newer revision.
//
// Between processes the instant travels as an age, never as a clock reading.
type Proof struct {
	Revision uint64
	// At is the instant on the clock of the node that holds the proof: time
	// since its process started. It may be earlier than the truth, never
	// later.
	At time.Duration
	// Valid is false in the zero value, which proves nothing.
	Valid bool
}

// newer says whether p proves more than q.
func (p Proof) newer(q Proof) bool {
	if !p.Valid || !q.Valid {
		return p.Valid
	}
	return p.At > q.At
}

// SentProof is a proof on its way to a peer.
type SentProof struct {
	Revision uint64
	// Age is how long before the receipt of the peer's call the proof's
	// instant was; it is negative for a proof begun while the call was held.
	//
	// A peer subtracts it from the instant at which it sent the call. The
	// call was received after it was sent, so that the result is never later
	// than the truth: also when the reply lay in a buffer, when either process
	// was paused, and whatever the clocks show.
	Age   time.Duration
	Valid bool
}

// send returns the proof as told in answer to a call received at an instant.
func (p Proof) send(received time.Duration) SentProof {
	if !p.Valid {
		return SentProof{}
	}
	return SentProof{Revision: p.Revision, Age: received - p.At, Valid: true}
}
