package transfer

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hickorybank/hickorybank/internal/archive"
)

var start = time.Unix(1_000_000, 0)

// document returns a state with about the given packed size: its text is incompressible.
func document(tag uint64, size int) *archive.Archive {
	var text bytes.Buffer
	x := tag*0x9e3779b97f4a7c15 + 1
	for text.Len() < 2*size { // two hexadecimal digits pack to about one byte
		x ^= x << 13
		x ^= x >> 7
		x ^= x << 17
		fmt.Fprintf(&text, "%016x", x)
	}
	return archive.New(tag, fmt.Appendf(nil, `{"version":%d,"text":%q}`, tag, text.String()), nil)
}

// receive sends requests until the transfer completes, the sender is busy or has nothing
// newer, or maxAsks is reached.
func receive(t *testing.T, s *Sender, r *Receiver, now time.Time, maxAsks int) (asks int, last Piece) {
	t.Helper()
	for asks = 1; asks <= maxAsks; asks++ {
		last = s.Answer(r.NextRequest(), now)
		if last.Busy || last.To == 0 {
			return asks, last
		}
		complete, err := r.Take(last)
		if err != nil {
			t.Fatal(err)
		}
		if complete {
			s.Answer(r.NextRequest(), now) // acknowledges completion
			return asks, last
		}
	}
	return maxAsks, last
}

func TestUpdateIsSentInPieces(t *testing.T) {
	is := is.New(t)
	doc := document(3, 5*PieceSize)
	s, r := NewSender(0), NewReceiver("a")
	s.Set(doc)
	asks, last := receive(t, s, r, start, 100)
	is.Equal(asks, (last.Size+PieceSize-1)/PieceSize)
	is.True(asks >= 5)
	got, err := r.Update(nil)
	is.NoErr(err)
	is.Equal(got.Tag(), uint64(3))
	is.True(bytes.Equal(got.Raw(), doc.Raw()))
	r.Begin(3)
	is.Equal(s.Answer(r.NextRequest(), start).To, uint64(0)) // nothing newer
}

// When a sender fails, the transfer resumes at another sender with the bytes already
// received. Otherwise the same bytes are sent twice.
func TestTransferResumesAtAnotherSender(t *testing.T) {
	is := is.New(t)
	doc := document(3, 5*PieceSize)
	first, second, r := NewSender(0), NewSender(0), NewReceiver("a")
	first.Set(doc)
	second.Set(archive.New(3, doc.Raw(), nil))
	receive(t, first, r, start, 3)
	received := r.Received()
	is.Equal(received, 3*PieceSize)
	p := second.Answer(r.NextRequest(), start)
	is.Equal(p.Offset, received)
	_, err := r.Take(p)
	is.NoErr(err)
	receive(t, second, r, start, 100)
	got, err := r.Update(nil)
	is.NoErr(err)
	is.True(bytes.Equal(got.Raw(), doc.Raw()))
}

// Changes every 0.3 s must not restart a transfer that takes a second. Otherwise it never
// completes.
func TestChangeDoesNotRestartTransfer(t *testing.T) {
	is := is.New(t)
	s, r := NewSender(0), NewReceiver("a")
	s.Set(document(1, 4*PieceSize))
	for tag := uint64(2); ; tag++ {
		p := s.Answer(r.NextRequest(), start)
		whole, err := r.Take(p)
		is.NoErr(err)
		if whole {
			break
		}
		s.Set(document(tag, 4*PieceSize))
		is.True(tag < 10)
	}
	got, err := r.Update(nil)
	is.NoErr(err)
	is.Equal(got.Tag(), uint64(1))
}

// Twenty nodes send requests to one node with a link of 10 Mbit/s at once. The sender limits
// its concurrent transfers, so that its link is not saturated for long, and refers the
// others to nodes that it has served.
func TestSenderLimitsConcurrentTransfers(t *testing.T) {
	is := is.New(t)
	s := NewSender(1.25e6)
	s.Set(document(3, 5*PieceSize))
	var served []string
	for i := range 20 {
		r := NewReceiver(fmt.Sprintf("n%d", i))
		if p := s.Answer(r.NextRequest(), start); !p.Busy {
			served = append(served, fmt.Sprintf("n%d", i))
		}
	}
	is.Equal(len(served), 3) // 3 x 32 kB in 0.1 s
	r := NewReceiver("n0")
	receive(t, s, r, start, 100)
	p := s.Answer(NewReceiver("n9").NextRequest(), start)
	is.True(!p.Busy) // there is room again
	p = s.Answer(NewReceiver("n10").NextRequest(), start)
	is.True(p.Busy)
	is.Equal(p.Others, []string{"n0"})
	// Transfers without requests expire.
	p = s.Answer(NewReceiver("n10").NextRequest(), start.Add(requesterTimeout+time.Second))
	is.True(!p.Busy)
}

// A sender with a link of 200 Mbit/s serves 20 nodes at once.
func TestSenderWithHighBandwidthServesMany(t *testing.T) {
	is := is.New(t)
	s := NewSender(25e6)
	s.Set(document(3, 5*PieceSize))
	for i := range 20 {
		is.True(!s.Answer(NewReceiver(fmt.Sprintf("n%d", i)).NextRequest(), start).Busy)
	}
}

// An update that cannot be applied to the node's state is followed by a request for the full
// document.
func TestUpdateThatDoesNotApplyIsRequestedInFull(t *testing.T) {
	is := is.New(t)
	s, r := NewSender(0), NewReceiver("a")
	var doc *archive.Archive
	doc = doc.Replace(1, []byte(`{"a":[1,2,3]}`))
	doc = doc.Replace(2, []byte(`{"a":[1,2,3,4]}`))
	s.Set(doc)
	r.Begin(1)
	receive(t, s, r, start, 9)
	conflicting := archive.New(1, []byte(`{"a":[7,2,3]}`), nil) // another writer's
	_, err := r.Update(conflicting)
	is.True(err != nil)
	is.True(r.NextRequest().Whole)
	receive(t, s, r, start, 9)
	got, err := r.Update(conflicting)
	is.NoErr(err)
	is.Equal(string(got.Raw()), `{"a":[1,2,3,4]}`)
}

// Corrupt, duplicate, misplaced or mixed pieces never produce a document that no sender has.
func TestInvalidPiecesNeverYieldUnknownDocument(t *testing.T) {
	docs := []*archive.Archive{document(1, 3*PieceSize), document(2, 2*PieceSize), document(3, 10)}
	var all []Piece
	for _, doc := range docs {
		s, r := NewSender(0), NewReceiver("a")
		s.Set(doc)
		for {
			p := s.Answer(r.NextRequest(), start)
			all = append(all, p)
			if whole, err := r.Take(p); err != nil || whole {
				break
			}
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		r := NewReceiver("a")
		for range rapid.IntRange(1, 30).Draw(t, "pieces") {
			p := all[rapid.IntRange(0, len(all)-1).Draw(t, "piece")]
			if rapid.IntRange(0, 9).Draw(t, "harm") == 0 && len(p.Data) > 0 {
				p.Data = bytes.Clone(p.Data)
				p.Data[rapid.IntRange(0, len(p.Data)-1).Draw(t, "at")] ^= 1
			}
			whole, err := r.Take(p)
			if err != nil || !whole {
				continue
			}
			got, err := r.Update(nil)
			if err == nil && !bytes.Equal(got.Raw(), docs[got.Tag()-1].Raw()) {
				t.Fatalf("document %d is another one", got.Tag())
			}
			r = NewReceiver("a")
		}
	})
}
