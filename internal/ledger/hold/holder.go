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
type Holder struct {
	settings Settings
	owners   map[string]*owner
	bills    int
}

type owner struct {
	heard time.Time
	rows  map[uint64]bill.Row
}

// New returns an empty holder.
func New(s Settings) *Holder { return &Holder{settings: s, owners: map[string]*owner{}} }

// Hold takes a copy of a row; false means that there is no room. Holding a
// row twice is harmless.
func (h *Holder) Hold(now time.Time, row bill.Row) bool {
	o := h.owners[row.Writer]
	if o == nil {
		o = &owner{rows: map[uint64]bill.Row{}}
		h.owners[row.Writer] = o
	}
	o.heard = now
	if _, ok := o.rows[row.Seq]; ok {
		return true
	}
	if h.bills+row.Bills.Len() > h.settings.MaxBills {
		return false
	}
	h.bills += row.Bills.Len()
	o.rows[row.Seq] = row
	return true
}

// Refresh notes that an owner lives, and returns which of the rows that it
// believes to be held are not. A holder that was restarted has none.
func (h *Holder) Refresh(now time.Time, writer string, seqs []uint64) (missing []uint64) {
	o := h.owners[writer]
	if o == nil {
		return seqs
	}
	o.heard = now
	for _, seq := range seqs {
		if _, ok := o.rows[seq]; !ok {
			missing = append(missing, seq)
		}
	}
	return missing
}

// Drop forgets rows that their owner needs held no more.
func (h *Holder) Drop(writer string, seqs []uint64) {
	o := h.owners[writer]
	if o == nil {
		return
	}
	for _, seq := range seqs {
		row := o.rows[seq]
		h.bills -= row.Bills.Len()
		delete(o.rows, seq)
	}
	if len(o.rows) == 0 {
		delete(h.owners, writer)
	}
}

// Gone notes that an owner stops for good.
func (h *Holder) Gone(writer string) {
	if o := h.owners[writer]; o != nil {
		o.heard = time.Time{}
	}
}

// Orphans returns the rows whose owners are silent, and forgets them: whoever
// takes them keeps them until they are written.
func (h *Holder) Orphans(now time.Time) []bill.Row {
	var rows []bill.Row
	for writer, o := range h.owners {
		if now.Sub(o.heard) <= h.settings.Silence {
			continue
		}
		for _, row := range o.rows {
			h.bills -= row.Bills.Len()
			rows = append(rows, row)
		}
		delete(h.owners, writer)
	}
	slices.SortFunc(rows, func(a, b bill.Row) int {
		return cmp.Or(strings.Compare(a.Writer, b.Writer), cmp.Compare(a.Seq, b.Seq))
	})
	return rows
}

// Bills is how many bills are held.
func (h *Holder) Bills() int { return h.bills }

// Empty says whether nothing is held.
func (h *Holder) Empty() bool { return len(h.owners) == 0 }
