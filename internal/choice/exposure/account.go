package exposure

import "github.com/hickorybank/hickorybank/internal/platform"

// allocationsPerCap is the number of parts that a cap is divided into. A node that hands
// out grants allocates one part at a time, and loses at most one when it crashes.
const allocationsPerCap = 20

// Account hands out the grants of one version, on the node that is responsible for them.
// Accounts of the same version on several nodes never exceed the cap together.
type Account struct {
	version string
	// known is set while row is the latest state of the row in the table.
	known   bool
	row     platform.Row
	current Row
	// unspent units are allocated in the table and not yet handed out.
	unspent int
	// pending is what the transaction under way writes, pendingUnits what it allocates.
	pending      Row
	pendingUnits int
}

// NewAccount returns the account of a version whose row has not been read yet.
func NewAccount(version string) *Account { return &Account{version: version} }

// Known reports whether the row is known. If not, the caller must read it and pass it to
// Read.
func (a *Account) Known() bool { return a.known }

// Open reports whether the cap has been lifted.
func (a *Account) Open() bool { return a.known && a.current.Open }

// Read sets the row as read from the table. It returns an error for a row that cannot be
// decoded; nothing is granted then.
func (a *Account) Read(row platform.Row) error {
	state, err := ParseRow(row.Value)
	if err != nil {
		a.known = false
		return err
	}
	a.known = true
	a.row = row
	a.current = state
	return nil
}

// HandOut hands out up to want of the unspent units and returns their number.
func (a *Account) HandOut(want int) int {
	units := min(want, a.unspent)
	a.unspent -= units
	return units
}

// Allocate returns the transaction that allocates the next part of a cap of limit units, or
// false when none are left. The row must be known.
func (a *Account) Allocate(limit int) (platform.Txn, bool) {
	allocated, units := a.current.allocate(max(limit/allocationsPerCap, 1), limit)
	if units == 0 {
		return platform.Txn{}, false
	}
	a.pendingUnits = units
	return a.commitRow(allocated), true
}

// LiftCap returns the transaction that lifts the cap. The row must be known.
func (a *Account) LiftCap() platform.Txn {
	opened := a.current
	opened.Open = true
	a.pendingUnits = 0
	return a.commitRow(opened)
}

func (a *Account) commitRow(next Row) platform.Txn {
	key := RowKey(a.version)
	a.pending = next
	return platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: a.row.Version}},
		Writes:     []platform.Write{{Key: key, Value: next.Bytes()}},
	}
}

// Committed takes the result of the last transaction returned. If the result was lost,
// its units are not handed out: the table may count them as granted or not, and handing
// them out could exceed the cap.
func (a *Account) Committed(result platform.CommitResult, err error) {
	units := a.pendingUnits
	a.pendingUnits = 0
	if err != nil || !result.Applied {
		a.known = false
		return
	}
	a.row.Version = result.Version
	a.current = a.pending
	a.unspent += units
}
