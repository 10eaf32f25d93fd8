package claim

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/request"
)

func drawEntry(t *rapid.T) Entry {
	e := Entry{
		Kind: Kind(rapid.IntRange(int(KindClaim), int(KindRelease)).Draw(t, "kind")),
		ID:   key.NewID("org", rapid.String().Draw(t, "key")),
		At:   rapid.Int64Range(0, 1<<42).Draw(t, "at"),
	}
	e.Attempt = key.AttemptID(rapid.String().Draw(t, "attempt"))
	switch e.Kind {
	case KindClaim:
		e.Print = request.NewFingerprint("org", rapid.SliceOf(rapid.Byte()).Draw(t, "body"))
		e.Node = rapid.StringMatching(`n[0-3]`).Draw(t, "node")
	case KindSettle:
		e.Outcome = rapid.SampledFrom([]request.Outcome{request.Completed, request.NotRun, request.Unknown}).Draw(t, "outcome")
		if rapid.Bool().Draw(t, "answered") {
			e.Answer = rapid.SliceOfN(rapid.Byte(), 1, 50).Draw(t, "answer")
		}
		if rapid.Bool().Draw(t, "billed") {
			e.Bill = &bill.Bill{Org: "org", Key: rapid.String().Draw(t, "bill key"), Cost: rapid.Int64().Draw(t, "cost"), At: time.UnixMilli(e.At).UTC()}
		}
	}
	return e
}

func TestRowRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		row := Row{Writer: rapid.String().Draw(t, "writer"), Number: rapid.Uint64().Draw(t, "number")}
		row.Entries = rapid.SliceOfN(rapid.Custom(drawEntry), 0, 20).Draw(t, "entries")
		data, err := row.Encode()
		is.NoErr(err)
		back, err := Decode(data)
		is.NoErr(err)
		is.Equal(back.Writer, row.Writer)
		is.Equal(back.Number, row.Number)
		is.Equal(len(back.Entries), len(row.Entries))
		for i := range row.Entries {
			if len(row.Entries[i].Answer) == 0 {
				back.Entries[i].Answer = nil // gob does not distinguish nil from empty
			}
			is.Equal(back.Entries[i], row.Entries[i])
		}
	})
}

// A corrupted row must be rejected as a whole. An entry that is left out or made up
// would let work run twice.
func FuzzDecode(f *testing.F) {
	row := Row{Writer: "w", Number: 3, Entries: []Entry{
		{Kind: KindClaim, Node: "n", At: 5},
		{Kind: KindSettle, Answer: []byte("yes"), Bill: &bill.Bill{Org: "o", Key: "k"}},
		{Kind: KindRelease},
	}}
	data, err := row.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)-1])
	f.Fuzz(func(t *testing.T, data []byte) {
		back, err := Decode(data)
		if err != nil {
			return
		}
		again, err := back.Encode()
		if err != nil {
			t.Fatalf("a decoded row does not encode: %v", err)
		}
		if _, err := Decode(again); err != nil {
			t.Fatalf("it does not decode again: %v", err)
		}
	})
}
