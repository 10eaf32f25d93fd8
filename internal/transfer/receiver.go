package transfer

import (
	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/archive"
)

// MaxUpdateBytes is the maximum size of an update. No packed document is larger.
const MaxUpdateBytes = 16 << 20

// Receiver assembles an update from its pieces. It is not safe for concurrent use.
type Receiver struct {
	nodeID   string
	document Document
	known    uint64
	wantFull bool
	updateID uint64
	data     []byte
}

// NewReceiver returns a receiver that requests pieces of the configuration under the given
// node ID.
func NewReceiver(nodeID string) *Receiver { return &Receiver{nodeID: nodeID} }

// NewReceiverOf returns a receiver that requests pieces of a document under the given node ID.
func NewReceiverOf(d Document, nodeID string) *Receiver {
	return &Receiver{nodeID: nodeID, document: d}
}

// Begin sets the tag of the node's current state; 0 for none. If the tag differs from the
// last one, the pieces received so far are discarded.
func (r *Receiver) Begin(known uint64) {
	if known != r.known {
		r.reset()
		r.wantFull = false
	}
	r.known = known
}

// Known returns the tag of the state that the update starts from.
func (r *Receiver) Known() uint64 { return r.known }

// NextRequest returns the next request to send.
func (r *Receiver) NextRequest() Ask {
	return Ask{From: r.nodeID, Document: r.document, Known: r.known, Whole: r.wantFull, Update: r.updateID, Offset: len(r.data)}
}

// Reset discards what was received, so that the next request starts a new transfer.
func (r *Receiver) Reset() { r.reset() }

// Received returns the number of bytes received of the current update.
func (r *Receiver) Received() int { return len(r.data) }

// Take adds a piece and reports whether the update is complete. A piece of a different
// update replaces the one in progress. A piece that does not continue the update, or an
// update larger than [MaxUpdateBytes], is an error and discards what was received.
func (r *Receiver) Take(p Piece) (complete bool, err error) {
	if p.Update != r.updateID {
		r.reset()
		r.updateID = p.Update
	}
	if p.Offset != len(r.data) || len(r.data)+len(p.Data) > p.Size || p.Size > MaxUpdateBytes {
		r.reset()
		return false, eris.Errorf("piece of %d bytes at offset %d of %d does not continue the %d bytes received (limit %d)", len(p.Data), p.Offset, p.Size, len(r.data), MaxUpdateBytes)
	}
	r.data = append(r.data, p.Data...)
	return len(r.data) == p.Size, nil
}

// Update applies the complete update to the current state and returns the new state. If the
// update is corrupt or cannot be applied, it returns an error and the next request asks for
// the full document.
func (r *Receiver) Update(current *archive.Archive) (*archive.Archive, error) {
	next, err := r.apply(current)
	if err != nil {
		r.reset()
		r.wantFull = true
	}
	return next, err
}

func (r *Receiver) apply(current *archive.Archive) (*archive.Archive, error) {
	u, err := r.Decode()
	if err != nil {
		return nil, err
	}
	return current.Apply(u)
}

// Decode returns the complete update without applying it. It returns an error if the data
// does not match the update's hash.
func (r *Receiver) Decode() (archive.Update, error) {
	if xxhash.Sum64(r.data) != r.updateID {
		return archive.Update{}, eris.New("update is corrupt: its hash does not match")
	}
	return archive.DecodeUpdate(r.data)
}

// RequestFull makes the next request ask for the full document, whatever state the node has.
func (r *Receiver) RequestFull() {
	if !r.wantFull {
		r.reset()
		r.wantFull = true
	}
}

func (r *Receiver) reset() {
	r.updateID = 0
	r.data = nil
}
