package transfer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorybank/hickorybank/internal/archive"
)

const (
	// maxQueueTime is the maximum transmission time of the data that a sender has in flight.
	// More would delay gossip and callers by as much, while nodes already served could
	// serve the others.
	maxQueueTime = 100 * time.Millisecond
	// DefaultBytesPerSecond is the assumed bandwidth of a link whose bandwidth is unknown.
	DefaultBytesPerSecond = 1.25e6
	// requesterTimeout is the time without a request after which a transfer is dropped. It is
	// longer than the timeout of a call.
	requesterTimeout = 1500 * time.Millisecond
	// servedRetention is how long a served node is named as an alternative.
	servedRetention = 5 * time.Second
	// maxAlternatives is the maximum number of alternatives in a response.
	maxAlternatives = 4
)

// Sender serves updates of a document to other nodes. It is safe for concurrent use.
type Sender struct {
	// maxInFlightBytes is the limit of unacknowledged bytes over all transfers.
	maxInFlightBytes int

	mu      sync.Mutex
	doc     *archive.Archive
	updates map[updateBase]*update
	active  map[string]*activeTransfer
	served  map[string]servedNode
	random  *rand.Rand
}

// updateBase identifies the starting point of an update.
type updateBase struct {
	known uint64
	full  bool
}

// update is an encoded update.
type update struct {
	to   uint64
	id   uint64
	data []byte
}

// activeTransfer is the state of a transfer to one node.
type activeTransfer struct {
	*update
	// received is the number of bytes that the node has, inFlight the number sent after
	// those and not yet acknowledged.
	received, inFlight int
	lastSent           time.Time
}

type servedNode struct {
	to uint64
	at time.Time
}

// NewSender returns a sender without a document. bytesPerSecond is the bandwidth of the
// node's link; 0 means unknown and selects [DefaultBytesPerSecond].
func NewSender(bytesPerSecond float64) *Sender {
	if bytesPerSecond <= 0 {
		bytesPerSecond = DefaultBytesPerSecond
	}
	return &Sender{
		maxInFlightBytes: int(bytesPerSecond * maxQueueTime.Seconds()),
		updates:          map[updateBase]*update{}, active: map[string]*activeTransfer{}, served: map[string]servedNode{},
		random: rand.New(rand.NewPCG(rand.Uint64(), 0)),
	}
}

// Seed makes the choice of alternatives repeatable.
func (s *Sender) Seed(seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.random = rand.New(rand.NewPCG(seed, 0))
}

// Set replaces the document by a newer state; an older one is ignored. Transfers in
// progress continue with the update that they started: otherwise frequent changes would
// prevent any transfer from completing.
func (s *Sender) Set(doc *archive.Archive) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if doc.Tag() <= s.doc.Tag() {
		return
	}
	s.doc = doc
	clear(s.updates)
}

// Answer returns the response to a request received at now.
func (s *Sender) Answer(request Ask, now time.Time) Piece {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	current := s.active[request.From]
	if current == nil || current.id != request.Update {
		delete(s.active, request.From)
		return s.startTransfer(request, now)
	}
	current.received = min(max(request.Offset, 0), len(current.data))
	current.inFlight = 0
	if current.received == len(current.data) {
		delete(s.active, request.From)
		s.served[request.From] = servedNode{current.to, now}
		return Piece{To: current.to, Update: current.id, Size: current.received, Offset: current.received}
	}
	return current.nextPiece(now)
}

// startTransfer starts a transfer, unless the sender has nothing newer or is busy.
func (s *Sender) startTransfer(request Ask, now time.Time) Piece {
	if s.doc.Tag() <= request.Known {
		return Piece{}
	}
	u := s.update(updateBase{request.Known, request.Whole})
	started := &activeTransfer{update: u}
	if request.Update == u.id {
		started.received = min(max(request.Offset, 0), len(u.data)) // resumes another sender's transfer
	}
	if len(s.active) > 0 && s.inFlight()+started.nextSize() > s.maxInFlightBytes {
		return Piece{To: u.to, Busy: true, Others: s.alternatives(request.From, u.to)}
	}
	s.active[request.From] = started
	return started.nextPiece(now)
}

// update returns the update from a base to the newest state, encoded once for each base.
func (s *Sender) update(from updateBase) *update {
	if u := s.updates[from]; u != nil {
		return u
	}
	data := s.doc.Update(from.known, from.full).Encode()
	u := &update{to: s.doc.Tag(), id: xxhash.Sum64(data), data: data}
	s.updates[from] = u
	return u
}

// inFlight returns the number of unacknowledged bytes over all transfers.
func (s *Sender) inFlight() int {
	sum := 0
	for _, a := range s.active {
		sum += a.inFlight
	}
	return sum
}

// alternatives returns the IDs of a few nodes that were served this state or a newer one.
func (s *Sender) alternatives(except string, to uint64) []string {
	var names []string
	for name, v := range s.served {
		if v.to >= to && name != except {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	s.random.Shuffle(len(names), func(i, k int) { names[i], names[k] = names[k], names[i] })
	return names[:min(len(names), maxAlternatives)]
}

// expire drops transfers without recent requests and old entries of served nodes.
func (s *Sender) expire(now time.Time) {
	for name, a := range s.active {
		if now.Sub(a.lastSent) > requesterTimeout {
			delete(s.active, name)
		}
	}
	for name, v := range s.served {
		if now.Sub(v.at) > servedRetention {
			delete(s.served, name)
		}
	}
}

// nextSize returns the size of the next piece in bytes.
func (a *activeTransfer) nextSize() int { return min(len(a.data)-a.received, PieceSize) }

// nextPiece returns the next piece and marks it as in flight.
func (a *activeTransfer) nextPiece(now time.Time) Piece {
	n := a.nextSize()
	a.inFlight = n
	a.lastSent = now
	return Piece{To: a.to, Update: a.id, Size: len(a.data), Offset: a.received, Data: a.data[a.received : a.received+n]}
}
