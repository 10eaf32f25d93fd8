package hold

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
)

func row(writer string, seq uint64) bill.Row {
	return bill.Row{Writer: writer, Seq: seq, Bills: bill.Pack([]bill.Bill{{Org: "o", Key: "k"}})}
}

// An answer was given while the platform was down, and the VM that kept its
// bill is lost. The holder hears nothing from it any more, and takes the row
// over. Without it the request would never be billed.
func TestRowsOfSilentOwnerAreTakenOver(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	h := New(Settings{MaxBills: 10, Silence: 5 * time.Second})
	is.True(h.Hold(now, row("a", 1)))
	is.True(h.Hold(now, row("a", 1)))
	is.True(h.Hold(now, row("b", 7)))
	is.Equal(h.Bills(), 2)
	is.Equal(h.Refresh(now.Add(4*time.Second), "b", []uint64{7, 8}), []uint64{8})
	is.Equal(len(h.Orphans(now.Add(5*time.Second))), 0)
	is.Equal(h.Orphans(now.Add(6*time.Second)), []bill.Row{row("a", 1)})
	is.Equal(h.Bills(), 1)
	h.Gone("b", []uint64{7, 9})
	is.Equal(h.Orphans(now.Add(6*time.Second)), []bill.Row{row("b", 7)})
	is.True(h.Empty())
}

// The owner of two rows is lost, and another holder has taken over one of them
// and speaks for it. The other row has nobody else: it must be taken over here
// all the same, or the loss of this VM loses it. Found by the storm test.
func TestEachRowIsKeptAliveByItself(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	h := New(Settings{MaxBills: 10, Silence: 5 * time.Second})
	is.True(h.Hold(now, row("a", 1)))
	is.True(h.Hold(now, row("a", 2)))
	now = now.Add(4 * time.Second)
	is.Equal(len(h.Refresh(now, "a", []uint64{1})), 0)
	now = now.Add(2 * time.Second)
	is.Equal(h.Orphans(now), []bill.Row{row("a", 2)})
	is.Equal(h.Bills(), 1)
}

// A VM stops as planned. What it holds may be the last copy, whether or not the
// owner was heard of a moment ago.
func TestStoppingHolderGivesAllRows(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	h := New(Settings{MaxBills: 10, Silence: 5 * time.Second})
	is.True(h.Hold(now, row("b", 1)))
	is.True(h.Hold(now, row("a", 2)))
	is.Equal(h.All(now), []bill.Row{row("a", 2), row("b", 1)})
	is.True(h.Empty())
}

// A holder was restarted and has lost its copies. Its owner must hear of it,
// or the next loss of a VM would take the last copy.
func TestRestartedHolderMissesAll(t *testing.T) {
	is := is.New(t)
	h := New(Settings{MaxBills: 1, Silence: time.Second})
	is.Equal(h.Refresh(time.Unix(1, 0), "a", []uint64{1, 2}), []uint64{1, 2})
	is.True(h.Hold(time.Unix(1, 0), row("a", 1)))
	is.True(!h.Hold(time.Unix(1, 0), row("a", 2))) // no room
	h.Drop("a", []uint64{1, 3})
	is.Equal(h.Bills(), 0)
	is.True(h.Hold(time.Unix(1, 0), row("a", 2)))
}
