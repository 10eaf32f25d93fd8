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

// document is a state whose packed size is about the given one: its text is not
// compressible.
func document(tag uint64, size int) *archive.Archive {
	var text bytes.Buffer
	x := tag*0x9e3779b97f4a7c15 + 1
	for text.Len() < 2*size { // two hexadecimal digits pack to about a byte
		x ^= x << 13
		x ^= x >> 7
		x ^= x << 17
		fmt.Fprintf(&text, "%016x", x)
	}
	return archive.New(tag, fmt.Appendf(nil, `{"version":%d,"text":%q}`, tag, text.String()), nil)
}

// take asks a sender until it has served, is busy or has nothing; most bounds the
// asks.
func take(t *testing.T, s *Sender, r *Receiver, now time.Time, most int) (asks int, last Piece) {
	t.Helper()
	for asks = 1; asks <= most; asks++ {
		last = s.Answer(r.Ask(), now)
		if last.Busy || last.To == 0 {
			return asks, last
		}
		whole, err := r.Take(last)
		if err != nil {
			t.Fatal(err)
		}
		if whole {
			s.Answer(r.Ask(), now) // says that all has come
			return asks, last
		}
	}
	return most, last
}

func TestUpdateComesInPieces(t *testing.T) {
	is := is.New(t)
	doc := document(3, 5*PieceSize)
	s, r := NewSender(0), NewReceiver("a")
	s.Set(doc)
	asks, last := take(t, s, r, start, 100)
	is.Equal(asks, (last.Size+PieceSize-1)/PieceSize)
	is.True(asks >= 5)
	got, err := r.Update(nil)
	is.NoErr(err)
	is.Equal(got.Tag(), uint64(3))
	is.True(bytes.Equal(got.Raw(), doc.Raw()))
	r.Begin(3)
	is.Equal(s.Answer(r.Ask(), start).To, uint64(0)) // nothing newer
}

// A node's transfer is cut when its sender is lost. It goes on at another one where
// it stopped: what has come over a narrow link is not sent again.
func TestTransferGoesOnAtAnotherSender(t *testing.T) {
	is := is.New(t)
	doc := document(3, 5*PieceSize)
	one, other, r := NewSender(0), NewSender(0), NewReceiver("a")
	one.Set(doc)
	other.Set(archive.New(3, doc.Raw(), nil))
	take(t, one, r, start, 3)
	had := r.Received()
	is.Equal(had, 3*PieceSize)
	p := other.Answer(r.Ask(), start)
	is.Equal(p.Offset, had)
	_, err := r.Take(p)
	is.NoErr(err)
	take(t, other, r, start, 100)
	got, err := r.Update(nil)
	is.NoErr(err)
	is.True(bytes.Equal(got.Raw(), doc.Raw()))
}

// A configuration changes every 0.3 s and a transfer takes a second: it would never
// end if each change began it anew.
func TestChangesDoNotEndATransfer(t *testing.T) {
	is := is.New(t)
	s, r := NewSender(0), NewReceiver("a")
	s.Set(document(1, 4*PieceSize))
	for tag := uint64(2); ; tag++ {
		p := s.Answer(r.Ask(), start)
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

// Twenty nodes ask one with a link of 10 Mbit/s at the same moment. It serves few at
// a time, so that its link is never full for long, and names those that it has served.
func TestSenderServesFewAtATime(t *testing.T) {
	is := is.New(t)
	s := NewSender(1.25e6)
	s.Set(document(3, 5*PieceSize))
	var served []string
	for i := range 20 {
		r := NewReceiver(fmt.Sprintf("n%d", i))
		if p := s.Answer(r.Ask(), start); !p.Busy {
			served = append(served, fmt.Sprintf("n%d", i))
		}
	}
	is.Equal(len(served), 3) // 3 x 32 kB in 0.1 s
	r := NewReceiver("n0")
	take(t, s, r, start, 100)
	p := s.Answer(NewReceiver("n9").Ask(), start)
	is.True(!p.Busy) // there is room again
	p = s.Answer(NewReceiver("n10").Ask(), start)
	is.True(p.Busy)
	is.Equal(p.Others, []string{"n0"})
	// Those that are lost are forgotten.
	p = s.Answer(NewReceiver("n10").Ask(), start.Add(forgetAfter+time.Second))
	is.True(!p.Busy)
}

// A sender with a bandwidth of 200 Mbit/s serves many.
func TestWideSenderServesMany(t *testing.T) {
	is := is.New(t)
	s := NewSender(25e6)
	s.Set(document(3, 5*PieceSize))
	for i := range 20 {
		is.True(!s.Answer(NewReceiver(fmt.Sprintf("n%d", i)).Ask(), start).Busy)
	}
}

// An update that does not fit what the node has is asked for whole.
func TestUpdateThatDoesNotFitIsAskedForWhole(t *testing.T) {
	is := is.New(t)
	s, r := NewSender(0), NewReceiver("a")
	var doc *archive.Archive
	doc = doc.Replace(1, []byte(`{"a":[1,2,3]}`))
	doc = doc.Replace(2, []byte(`{"a":[1,2,3,4]}`))
	s.Set(doc)
	r.Begin(1)
	take(t, s, r, start, 9)
	mine := archive.New(1, []byte(`{"a":[7,2,3]}`), nil) // another writer's
	_, err := r.Update(mine)
	is.True(err != nil)
	is.True(r.Ask().Whole)
	take(t, s, r, start, 9)
	got, err := r.Update(mine)
	is.NoErr(err)
	is.Equal(string(got.Raw()), `{"a":[1,2,3,4]}`)
}

// Pieces that are damaged, doubled, of another update or of another place never make
// a document that the sender does not have.
func TestPiecesInAnyOrderMakeNoOtherDocument(t *testing.T) {
	docs := []*archive.Archive{document(1, 3*PieceSize), document(2, 2*PieceSize), document(3, 10)}
	var all []Piece
	for _, doc := range docs {
		s, r := NewSender(0), NewReceiver("a")
		s.Set(doc)
		for {
			p := s.Answer(r.Ask(), start)
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
