package hold

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
)

// Settings are the settings of a [Holder].
type Settings struct {
	// MaxBills is the most bills held.
	MaxBills int
	// Silence is how long an owner may be silent before its rows are written
	// by their holders.
	Silence time.Duration
}

// Holder keeps rows for their owners. An owner that falls silent may have
// crashed, or may be paused or cut off: the holder then takes the rows over,
// which is harmless if the owner still writes them too: the bills are the same.
//
// Each row is kept alive by itself. Of a lost owner's rows another holder may
// have taken over some and speak for these; the others have nobody but this
// holder, and must not wait because of it.
type Holder struct {
	settings Settings
	owners   map[string]owner
	bills    int
}

// owner is the rows of one writer, by their numbers.
type owner map[uint64]*heldRow

type heldRow struct {
	row   bill.Row
	heard time.Time
}

// New returns an empty holder.
func New(s Settings) *Holder { return &Holder{settings: s, owners: map[string]owner{}} }

// Hold takes a copy of a row; false means that there is no room. Holding a
// row twice is harmless.
func (h *Holder) Hold(now time.Time, row bill.Row) bool {
	if held := h.owners[row.Writer][row.Seq]; held != nil {
		held.heard = now
		return true
	}
	if h.bills+row.Bills.Len() > h.settings.MaxBills {
		return false
	}
	if h.owners[row.Writer] == nil {
		h.owners[row.Writer] = owner{}
	}
	h.owners[row.Writer][row.Seq] = &heldRow{row, now}
	h.bills += row.Bills.Len()
	return true
}

// Refresh notes that somebody looks after rows, and returns which of them are
// not held. A holder that was restarted has none.
func (h *Holder) Refresh(now time.Time, writer string, seqs []uint64) (missing []uint64) {
	for _, seq := range seqs {
		held := h.owners[writer][seq]
		if held == nil {
			missing = append(missing, seq)
			continue
		}
		held.heard = now
	}
	return missing
}

// Drop forgets rows that their owner needs held no more.
func (h *Holder) Drop(writer string, seqs []uint64) {
	for _, seq := range seqs {
		h.remove(writer, seq)
	}
}

// Gone notes that an owner stops for good.
func (h *Holder) Gone(writer string, seqs []uint64) {
	for _, seq := range seqs {
		if held := h.owners[writer][seq]; held != nil {
			held.heard = time.Time{}
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

// Orphans returns the rows that nobody has looked after for a while, and
// forgets them: whoever takes them keeps them until they are written.
func (h *Holder) Orphans(now time.Time) []bill.Row {
	var rows []bill.Row
	for writer, owned := range h.owners {
		for seq, held := range owned {
			if now.Sub(held.heard) > h.settings.Silence {
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

// All returns all rows, and forgets them, for a node that stops.
func (h *Holder) All(now time.Time) []bill.Row {
	for _, owned := range h.owners {
		for _, held := range owned {
			held.heard = time.Time{}
		}
	}
	return h.Orphans(now)
}

// Bills is how many bills are held.
func (h *Holder) Bills() int { return h.bills }

// Empty says whether nothing is held.
func (h *Holder) Empty() bool { return len(h.owners) == 0 }
