package transfer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorybank/hickorybank/internal/archive"
)

const (
	// queueTime is how much of its link's time a sender promises at once: what it
	// queues more delays news and callers by as much, and those that it has served
	// first could serve the others meanwhile.
	queueTime = 100 * time.Millisecond
	// DefaultLink stands in where the bandwidth is not known, in bytes a second.
	DefaultLink = 1.25e6
	// forgetAfter is when an asker that does not ask on is no longer served: more
	// than a call's limit.
	forgetAfter = 1500 * time.Millisecond
	// servedFor is how long a node that was served is named to others.
	servedFor = 5 * time.Second
	// mostOthers bounds the nodes named in an answer.
	mostOthers = 4
)

// Sender answers askers with updates of a document. It is safe for concurrent use.
type Sender struct {
	// room is how many bytes may be under way at once.
	room int

	mu      sync.Mutex
	doc     *archive.Archive
	updates map[base]*update
	askers  map[string]*asker
	served  map[string]servedAsker
}

// base is what an update leads from.
type base struct {
	known uint64
	whole bool
}

// update is an encoded update.
type update struct {
	to   uint64
	name uint64
	data []byte
}

// asker is a node that is being served.
type asker struct {
	*update
	// offset is the end of what it has, pending the bytes after that which are on
	// their way.
	offset, pending int
	at              time.Time
}

type servedAsker struct {
	to uint64
	at time.Time
}

// NewSender returns a sender without a document. bytesPerSecond is the bandwidth of
// its link; 0 if it is not known.
func NewSender(bytesPerSecond float64) *Sender {
	if bytesPerSecond <= 0 {
		bytesPerSecond = DefaultLink
	}
	return &Sender{
		room:    int(bytesPerSecond * queueTime.Seconds()),
		updates: map[base]*update{}, askers: map[string]*asker{}, served: map[string]servedAsker{},
	}
}

// Set takes the newest state. Askers that are being served get the rest of what they
// have begun: with a change every moment, none would ever end otherwise.
func (s *Sender) Set(doc *archive.Archive) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if doc.Tag() <= s.doc.Tag() {
		return
	}
	s.doc = doc
	clear(s.updates)
}

// Answer answers an ask.
func (s *Sender) Answer(a Ask, now time.Time) Piece {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(now)
	served := s.askers[a.From]
	if served == nil || served.name != a.Update {
		delete(s.askers, a.From)
		return s.begin(a, now)
	}
	served.offset = min(max(a.Offset, 0), len(served.data))
	served.pending = 0
	if served.offset == len(served.data) {
		delete(s.askers, a.From)
		s.served[a.From] = servedAsker{served.to, now}
		return Piece{To: served.to, Update: served.name, Size: served.offset, Offset: served.offset}
	}
	return served.next(now)
}

// begin serves an asker that is not being served.
func (s *Sender) begin(a Ask, now time.Time) Piece {
	if s.doc.Tag() <= a.Known {
		return Piece{}
	}
	u := s.update(base{a.Known, a.Whole})
	next := &asker{update: u}
	if a.Update == u.name {
		next.offset = min(max(a.Offset, 0), len(u.data)) // it began at another sender
	}
	if len(s.askers) > 0 && s.pending()+next.first() > s.room {
		return Piece{To: u.to, Busy: true, Others: s.others(a.From, u.to)}
	}
	s.askers[a.From] = next
	return next.next(now)
}

// update returns the update from a base to the newest state.
func (s *Sender) update(from base) *update {
	if u := s.updates[from]; u != nil {
		return u
	}
	data := s.doc.Update(from.known, from.whole).Encode()
	u := &update{to: s.doc.Tag(), name: xxhash.Sum64(data), data: data}
	s.updates[from] = u
	return u
}

// pending is how many bytes are on their way.
func (s *Sender) pending() int {
	sum := 0
	for _, a := range s.askers {
		sum += a.pending
	}
	return sum
}

// others names nodes that have a state, or soon will.
func (s *Sender) others(but string, to uint64) []string {
	var names []string
	for name, v := range s.served {
		if v.to >= to && name != but {
			names = append(names, name)
		}
	}
	rand.Shuffle(len(names), func(i, k int) { names[i], names[k] = names[k], names[i] })
	return names[:min(len(names), mostOthers)]
}

// forget drops askers that do not ask on.
func (s *Sender) forget(now time.Time) {
	for name, a := range s.askers {
		if now.Sub(a.at) > forgetAfter {
			delete(s.askers, name)
		}
	}
	for name, v := range s.served {
		if now.Sub(v.at) > servedFor {
			delete(s.served, name)
		}
	}
}

// first is the size of the next piece.
func (a *asker) first() int { return min(len(a.data)-a.offset, PieceSize) }

// next is the next piece.
func (a *asker) next(now time.Time) Piece {
	n := a.first()
	a.pending = n
	a.at = now
	return Piece{To: a.to, Update: a.name, Size: len(a.data), Offset: a.offset, Data: a.data[a.offset : a.offset+n]}
}
