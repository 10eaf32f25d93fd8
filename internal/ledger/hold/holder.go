package hold

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
)

// Settings configure a [Holder].
type Settings struct {
	// MaxBills is the maximum number of bills held.
	MaxBills int
	// OwnerTimeout is how long a row may go without a refresh before its holders take it
	// over.
	OwnerTimeout time.Duration
}

// Holder keeps copies of rows for their owners. An owner that sends no refreshes may
// have crashed, or may be paused or partitioned. The holder then takes its rows over.
// If the owner still writes them too, no harm is done, as the bills are the same.
//
// Each row is refreshed separately. If an owner is lost, another holder may take over
// and refresh some of its rows only. The other rows must not stay here because of that.
type Holder struct {
	settings Settings
	owners   map[string]ownedRows // by writer
	bills    int
}

// ownedRows are the held rows of one writer, by sequence number.
type ownedRows map[uint64]*heldRow

// heldRow is a copy of a row, with the time of its last refresh.
type heldRow struct {
	row         bill.Row
	refreshedAt time.Time
}

// New returns an empty holder.
func New(s Settings) *Holder { return &Holder{settings: s, owners: map[string]ownedRows{}} }

// Hold adds a copy of a row and returns false if there is no room for it. Holding a
// row that is held already refreshes it.
func (h *Holder) Hold(now time.Time, row bill.Row) bool {
	if held := h.owners[row.Writer][row.Seq]; held != nil {
		held.refreshedAt = now
		return true
	}
	if h.bills+row.Bills.Len() > h.settings.MaxBills {
		return false
	}
	if h.owners[row.Writer] == nil {
		h.owners[row.Writer] = ownedRows{}
	}
	h.owners[row.Writer][row.Seq] = &heldRow{row, now}
	h.bills += row.Bills.Len()
	return true
}

// Refresh records that some process still takes care of the rows, and returns which of
// them are not held. A holder that was restarted holds none of them.
func (h *Holder) Refresh(now time.Time, writer string, seqs []uint64) (missing []uint64) {
	for _, seq := range seqs {
		held := h.owners[writer][seq]
		if held == nil {
			missing = append(missing, seq)
			continue
		}
		held.refreshedAt = now
	}
	return missing
}

// Drop deletes rows whose owner no longer needs copies.
func (h *Holder) Drop(writer string, seqs []uint64) {
	for _, seq := range seqs {
		h.remove(writer, seq)
	}
}

// OwnerStopped makes rows orphans at once, because their owner stops for good.
func (h *Holder) OwnerStopped(writer string, seqs []uint64) {
	for _, seq := range seqs {
		if held := h.owners[writer][seq]; held != nil {
			held.refreshedAt = time.Time{}
		}
	}
}

func (h *Holder) remove(writer string, seq uint64) {
	held := h.owners[writer][seq]
	if held == nil {
		return
	}
	h.bills -= held.row.Bills.Len()
	delete(h.owners[writer], seq)
	if len(h.owners[writer]) == 0 {
		delete(h.owners, writer)
	}
}

// TakeOrphans removes and returns the rows that were not refreshed within
// Settings.OwnerTimeout, sorted by writer and sequence number. The caller must keep them
// until they are stored.
func (h *Holder) TakeOrphans(now time.Time) []bill.Row {
	var rows []bill.Row
	for writer, owned := range h.owners {
		for seq, held := range owned {
			if now.Sub(held.refreshedAt) > h.settings.OwnerTimeout {
				rows = append(rows, held.row)
				h.remove(writer, seq)
			}
		}
	}
	slices.SortFunc(rows, func(a, b bill.Row) int {
		return cmp.Or(strings.Compare(a.Writer, b.Writer), cmp.Compare(a.Seq, b.Seq))
	})
	return rows
}

// TakeAll removes and returns all rows, for a node that stops.
func (h *Holder) TakeAll(now time.Time) []bill.Row {
	for _, owned := range h.owners {
		for _, held := range owned {
			held.refreshedAt = time.Time{}
		}
	}
	return h.TakeOrphans(now)
}

// Bills returns the number of bills held.
func (h *Holder) Bills() int { return h.bills }

// Empty reports whether no row is held.
func (h *Holder) Empty() bool { return len(h.owners) == 0 }
