package transfer

import (
	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/archive"
)

// MostBytes bounds an update: more than any document packs to.
const MostBytes = 16 << 20

// Receiver puts the pieces of one update together. It is not safe for concurrent use.
type Receiver struct {
	from  string
	known uint64
	whole bool
	name  uint64
	data  []byte
}

// NewReceiver returns a receiver of a node.
func NewReceiver(from string) *Receiver { return &Receiver{from: from} }

// Begin sets the state that the node has. What has come of an update to another one
// is dropped.
func (r *Receiver) Begin(known uint64) {
	if known != r.known {
		r.reset()
		r.whole = false
	}
	r.known = known
}

// Known is the state that the update leads from.
func (r *Receiver) Known() uint64 { return r.known }

// Ask is what to ask next.
func (r *Receiver) Ask() Ask {
	return Ask{From: r.from, Known: r.known, Whole: r.whole, Update: r.name, Offset: len(r.data)}
}

// Received is how many bytes of the update have come.
func (r *Receiver) Received() int { return len(r.data) }

// Take takes a piece; whole is set once the update is complete. A piece of another
// update than the one begun begins that.
func (r *Receiver) Take(p Piece) (whole bool, err error) {
	if p.Update != r.name {
		r.reset()
		r.name = p.Update
	}
	if p.Offset != len(r.data) || len(r.data)+len(p.Data) > p.Size || p.Size > MostBytes {
		r.reset()
		return false, eris.Errorf("piece at %d of %d does not follow on %d", p.Offset, p.Size, len(r.data))
	}
	r.data = append(r.data, p.Data...)
	return len(r.data) == p.Size, nil
}

// Update returns the complete update. One that is damaged, or that does not fit, is
// asked for whole next.
func (r *Receiver) Update(to *archive.Archive) (*archive.Archive, error) {
	next, err := r.apply(to)
	if err != nil {
		r.reset()
		r.whole = true
	}
	return next, err
}

func (r *Receiver) apply(to *archive.Archive) (*archive.Archive, error) {
	u, err := r.Decode()
	if err != nil {
		return nil, err
	}
	return to.Take(u)
}

// Decode returns the complete update, not yet applied.
func (r *Receiver) Decode() (archive.Update, error) {
	if xxhash.Sum64(r.data) != r.name {
		return archive.Update{}, eris.New("update is damaged")
	}
	return archive.DecodeUpdate(r.data)
}

// AskWhole has the whole document asked for, whatever the node has.
func (r *Receiver) AskWhole() {
	if !r.whole {
		r.reset()
		r.whole = true
	}
}

func (r *Receiver) reset() {
	r.name = 0
	r.data = nil
}
