package exposure

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// table is one row with conditional writes.
type table struct{ row platform.Row }

func (t *table) commit(txn platform.Txn) platform.CommitResult {
	if txn.Conditions[0].Version != t.row.Version {
		return platform.CommitResult{}
	}
	t.row = platform.Row{Key: txn.Writes[0].Key, Version: t.row.Version + 1, Value: txn.Writes[0].Value}
	return platform.CommitResult{Applied: true, Version: t.row.Version}
}

var errLost = errors.New("answer was lost")

// A bad new version gives more answers than its cap. Two nodes both believe
// that they hand out its grants, answers of the table are lost or writes late,
// and nodes crash with grants in hand. Whatever happens, what all have handed
// out stays within the cap.
func TestGrantsNeverExceedTheCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 100).Draw(t, "cap")
		store := &table{}
		accounts := []*Account{NewAccount("v"), NewAccount("v"), NewAccount("v")}
		var late []platform.Txn
		handed := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, len(accounts)-1).Draw(t, "node")
			a := accounts[i]
			switch rapid.SampledFrom([]string{"read", "take", "hand", "crash", "late"}).Draw(t, "step") {
			case "read":
				if err := a.Read(store.row); err != nil {
					t.Fatal(err)
				}
			case "take":
				if !a.Known() {
					continue
				}
				txn, ok := a.Take(limit)
				if !ok {
					continue
				}
				switch rapid.SampledFrom([]string{"well", "lost", "late"}).Draw(t, "commit") {
				case "well":
					a.Committed(store.commit(txn), nil)
				case "lost":
					store.commit(txn)
					a.Committed(platform.CommitResult{}, errLost)
				case "late":
					late = append(late, txn)
					a.Committed(platform.CommitResult{}, errLost)
				}
			case "hand":
				handed += a.Hand(rapid.IntRange(1, 5).Draw(t, "want"))
			case "crash":
				accounts[i] = NewAccount("v")
			case "late":
				for _, txn := range late {
					store.commit(txn)
				}
				late = nil
			}
			if handed > limit {
				t.Fatalf("handed out %d of %d", handed, limit)
			}
		}
	})
}

func TestUnreadableRowGrantsNothing(t *testing.T) {
	is := is.New(t)
	a := NewAccount("v")
	is.True(a.Read(platform.Row{Version: 3, Value: []byte("{")}) != nil)
	is.True(!a.Known())
	is.Equal(a.Hand(1), 0)
}

func TestOpeningKeepsTheCount(t *testing.T) {
	is := is.New(t)
	store := &table{}
	a := NewAccount("v")
	is.NoErr(a.Read(store.row))
	txn, ok := a.Take(40)
	is.True(ok)
	a.Committed(store.commit(txn), nil)
	a.Committed(store.commit(a.OpenUp()), nil)
	is.True(a.Open())
	row, err := ParseRow(store.row.Value)
	is.NoErr(err)
	is.Equal(row, Row{Granted: 2, Open: true})
}

// The share is a bound: a node that was without grants for long must not make
// up for it in a rush, and sessions that went beyond it are waited for.
func TestPurseKeepsTheShare(t *testing.T) {
	is := is.New(t)
	var p Purse
	now := time.Unix(0, 0)
	p.Receive(Grant{Open: true}, now)
	for range 1000 {
		p.Count(0.05)
	}
	spent := 0
	for p.Due() {
		p.Spend()
		spent++
	}
	is.Equal(spent, mostCredit)
	p.Spend() // a session
	for range 39 {
		p.Count(0.05)
	}
	is.True(!p.Due())
	p.Count(0.05)
	p.Count(0.05)
	is.True(p.Due())
}

func TestPurseAsksLessAndLessOften(t *testing.T) {
	is := is.New(t)
	var p Purse
	now := time.Unix(0, 0)
	is.True(p.Wants(now))
	p.Asked(now)
	is.True(!p.Wants(now))
	asked := 0
	for range 600 {
		now = now.Add(time.Second)
		if p.Wants(now) {
			p.Asked(now)
			p.Receive(Grant{}, now)
			asked++
		}
	}
	is.True(asked < 20)
}
