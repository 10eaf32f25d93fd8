package exposure

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// fakeTable is one row with conditional writes.
type fakeTable struct{ row platform.Row }

func (t *fakeTable) commit(txn platform.Txn) platform.CommitResult {
	if txn.Conditions[0].Version != t.row.Version {
		return platform.CommitResult{}
	}
	t.row = platform.Row{Key: txn.Writes[0].Key, Version: t.row.Version + 1, Value: txn.Writes[0].Value}
	return platform.CommitResult{Applied: true, Version: t.row.Version}
}

var errLost = errors.New("answer was lost")

// Nodes that each consider themselves responsible hand out grants of one version, while
// answers of the table are lost, writes are applied late, and nodes crash with units in
// hand. The units handed out by all nodes must stay within the cap.
func TestGrantsNeverExceedCapAcrossNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := race{t: t, limit: rapid.IntRange(0, 12).Draw(t, "cap"), accounts: []*Account{NewAccount("v"), NewAccount("v"), NewAccount("v")}}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			r.step()
		}
		// At the end there are no faults, and all remaining units are handed out.
		for range 2 * r.limit {
			for _, a := range r.accounts {
				r.read(a)
				r.take(a, "well")
				r.hand(a, r.limit)
			}
		}
	})
}

// race is a set of accounts of one version that write the same row concurrently.
type race struct {
	t          *rapid.T
	limit      int
	store      fakeTable
	accounts   []*Account
	lateWrites []platform.Txn
	handed     int
}

func (r *race) step() {
	i := rapid.IntRange(0, len(r.accounts)-1).Draw(r.t, "node")
	switch rapid.SampledFrom([]string{"read", "take", "hand", "crash", "late"}).Draw(r.t, "step") {
	case "read":
		r.read(r.accounts[i])
	case "take":
		r.take(r.accounts[i], rapid.SampledFrom([]string{"well", "lost", "late"}).Draw(r.t, "commit"))
	case "hand":
		r.hand(r.accounts[i], rapid.IntRange(1, 5).Draw(r.t, "want"))
	case "crash":
		r.accounts[i] = NewAccount("v")
	case "late":
		for _, txn := range r.lateWrites {
			r.store.commit(txn)
		}
		r.lateWrites = nil
	}
}

func (r *race) read(a *Account) {
	if err := a.Read(r.store.row); err != nil {
		r.t.Fatal(err)
	}
}

func (r *race) take(a *Account, outcome string) {
	if !a.Known() {
		return
	}
	txn, ok := a.Allocate(r.limit)
	if !ok {
		return
	}
	switch outcome {
	case "well":
		a.Committed(r.store.commit(txn), nil)
	case "lost":
		r.store.commit(txn)
		a.Committed(platform.CommitResult{}, errLost)
	case "late":
		r.lateWrites = append(r.lateWrites, txn)
		a.Committed(platform.CommitResult{}, errLost)
	}
}

func (r *race) hand(a *Account, want int) {
	r.handed += a.HandOut(want)
	if r.handed > r.limit {
		r.t.Fatalf("handed out %d of %d", r.handed, r.limit)
	}
}

// A row that cannot be decoded may have been granted up to the cap, so nothing may be
// granted from it.
func TestUnreadableRowGrantsNoUnits(t *testing.T) {
	is := is.New(t)
	a := NewAccount("v")
	is.True(a.Read(platform.Row{Version: 3, Value: []byte("{")}) != nil)
	is.True(!a.Known())
	is.Equal(a.HandOut(1), 0)
}

// Lifting the cap must not reset the number of units granted so far.
func TestLiftingTheCapKeepsTheGrantedCount(t *testing.T) {
	is := is.New(t)
	store := &fakeTable{}
	a := NewAccount("v")
	is.NoErr(a.Read(store.row))
	txn, ok := a.Allocate(40)
	is.True(ok)
	a.Committed(store.commit(txn), nil)
	a.Committed(store.commit(a.LiftCap()), nil)
	is.True(a.Open())
	row, err := ParseRow(store.row.Value)
	is.NoErr(err)
	is.Equal(row, Row{Granted: 2, Open: true})
}

// The share is an upper bound: a node that had no grants for a long time must not catch
// up in a burst, and exposures of sessions beyond the share must delay later ones.
func TestExposuresStayWithinTheShare(t *testing.T) {
	is := is.New(t)
	var b Budget
	now := time.Unix(0, 0)
	b.Receive(Grant{Open: true}, now)
	for range 1000 {
		b.Count(0.05)
	}
	spent := 0
	for b.Due() {
		b.Spend()
		spent++
	}
	is.Equal(spent, maxCredit)
	b.Spend() // a session
	for range 39 {
		b.Count(0.05)
	}
	is.True(!b.Due())
	b.Count(0.05)
	b.Count(0.05)
	is.True(b.Due())
}

// A node whose requests are answered with empty grants must not request one every second.
func TestRequestsBackOffWhileNothingIsGranted(t *testing.T) {
	is := is.New(t)
	var b Budget
	now := time.Unix(0, 0)
	is.True(b.ShouldRequest(now))
	b.Requested(now)
	is.True(!b.ShouldRequest(now))
	asked := 0
	for range 600 {
		now = now.Add(time.Second)
		if b.ShouldRequest(now) {
			b.Requested(now)
			b.Receive(Grant{}, now)
			asked++
		}
	}
	is.True(asked < 20)
}
