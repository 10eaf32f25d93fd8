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

// A request is answered while the platform is down, and then the VM with its bill is
// lost. If the holder did not take over the row once refreshes stop, the request would
// never be billed.
func TestRowsWithoutRefreshAreTakenOver(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	h := New(Settings{MaxBills: 10, OwnerTimeout: 5 * time.Second})
	is.True(h.Hold(now, row("a", 1)))
	is.True(h.Hold(now, row("a", 1)))
	is.True(h.Hold(now, row("b", 7)))
	is.Equal(h.Bills(), 2)
	is.Equal(h.Refresh(now.Add(4*time.Second), "b", []uint64{7, 8}), []uint64{8})
	is.Equal(len(h.TakeOrphans(now.Add(5*time.Second))), 0)
	is.Equal(h.TakeOrphans(now.Add(6*time.Second)), []bill.Row{row("a", 1)})
	is.Equal(h.Bills(), 1)
	h.OwnerStopped("b", []uint64{7, 9})
	is.Equal(h.TakeOrphans(now.Add(6*time.Second)), []bill.Row{row("b", 7)})
	is.True(h.Empty())
}

// The owner of two rows is lost. Another holder takes over one of them and refreshes
// it here. That must not keep the other row from being taken over, or the loss of this
// VM would lose its last copy.
func TestRefreshOfOneRowDoesNotKeepAnother(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	h := New(Settings{MaxBills: 10, OwnerTimeout: 5 * time.Second})
	is.True(h.Hold(now, row("a", 1)))
	is.True(h.Hold(now, row("a", 2)))
	now = now.Add(4 * time.Second)
	is.Equal(len(h.Refresh(now, "a", []uint64{1})), 0)
	now = now.Add(2 * time.Second)
	is.Equal(h.TakeOrphans(now), []bill.Row{row("a", 2)})
	is.Equal(h.Bills(), 1)
}

// A VM stops as planned. It must hand on all rows that it holds, even if they were just
// refreshed: its copy may be the last one.
func TestStoppingHolderReturnsAllRows(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	h := New(Settings{MaxBills: 10, OwnerTimeout: 5 * time.Second})
	is.True(h.Hold(now, row("b", 1)))
	is.True(h.Hold(now, row("a", 2)))
	is.Equal(h.TakeAll(now), []bill.Row{row("a", 2), row("b", 1)})
	is.True(h.Empty())
}

// A restarted holder has lost its copies. It must report them as missing to the owner,
// or the next loss of a VM could lose the last copy.
func TestRestartedHolderReportsAllRowsMissing(t *testing.T) {
	is := is.New(t)
	h := New(Settings{MaxBills: 1, OwnerTimeout: time.Second})
	is.Equal(h.Refresh(time.Unix(1, 0), "a", []uint64{1, 2}), []uint64{1, 2})
	is.True(h.Hold(time.Unix(1, 0), row("a", 1)))
	is.True(!h.Hold(time.Unix(1, 0), row("a", 2))) // no room
	h.Drop("a", []uint64{1, 3})
	is.Equal(h.Bills(), 0)
	is.True(h.Hold(time.Unix(1, 0), row("a", 2)))
}
