package exposure

import "github.com/hickorybank/hickorybank/internal/platform"

// chunks is into how many parts a cap is cut: a node that hands out grants
// takes one part at a time, and loses at most one when it crashes.
const chunks = 20

// Account hands out the grants of one version. It belongs to the node that
// has the duty; another node's account of the same version is harmless.
type Account struct {
	version string
	// known says that row is what the table held when it was last heard of.
	known bool
	row   platform.Row
	state Row
	// reserve was taken from the table and not yet handed out.
	reserve int
	// next is what the commit under way writes, and taking what it takes.
	next   Row
	taking int
}

// NewAccount returns the account of a version of which nothing is known.
func NewAccount(version string) *Account { return &Account{version: version} }

// Known says whether the row is known; if not, it is to be read and given to Read.
func (a *Account) Known() bool { return a.known }

// Open says that the cap binds no more.
func (a *Account) Open() bool { return a.known && a.state.Open }

// Read takes in the row as the table holds it. An unreadable row is an error,
// and grants nothing.
func (a *Account) Read(row platform.Row) error {
	state, err := ParseRow(row.Value)
	if err != nil {
		a.known = false
		return err
	}
	a.known = true
	a.row = row
	a.state = state
	return nil
}

// Hand hands out up to want units of the reserve.
func (a *Account) Hand(want int) int {
	units := min(want, a.reserve)
	a.reserve -= units
	return units
}

// Take returns the transaction that takes the next part of the cap, or false
// when nothing is left. The account must be known.
func (a *Account) Take(limit int) (platform.Txn, bool) {
	next, units := a.state.take(max(limit/chunks, 1), limit)
	if units == 0 {
		return platform.Txn{}, false
	}
	a.taking = units
	return a.write(next), true
}

// OpenUp returns the transaction that lifts the cap. The account must be known.
func (a *Account) OpenUp() platform.Txn {
	next := a.state
	next.Open = true
	a.taking = 0
	return a.write(next)
}

func (a *Account) write(next Row) platform.Txn {
	key := RowKey(a.version)
	a.next = next
	return platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: a.row.Version}},
		Writes:     []platform.Write{{Key: key, Value: next.Bytes()}},
	}
}

// Committed takes in the table's answer to the transaction that was returned
// last. What a transaction took whose answer was lost is not handed out: it may
// have been counted as granted or not, and handing it out could exceed the cap.
func (a *Account) Committed(result platform.CommitResult, err error) {
	taken := a.taking
	a.taking = 0
	if err != nil || !result.Applied {
		a.known = false
		return
	}
	a.row.Version = result.Version
	a.state = a.next
	a.reserve += taken
}
