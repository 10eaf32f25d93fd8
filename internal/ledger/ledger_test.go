package ledger

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/claim"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
)

func claimOf(k, attempt, body string) ClaimRequest {
	return ClaimRequest{Org: "org", Key: k, Attempt: attempt, Fingerprint: request.NewFingerprint("org", []byte(body))}
}

func billOf(k string, cost int64) Bill {
	return Bill{Org: "org", Key: k, Class: "heavy", Version: "m-1", Cost: cost, At: time.Now().UTC().Truncate(time.Millisecond)}
}

func TestRetryThroughAnotherNodeGetsTheSameAnswer(t *testing.T) {
	for _, k := range []string{"", "order-17"} {
		inBubble(t, 4, func(is *is.I, c *cluster) {
			if k == "" {
				k = newKey()
			}
			first := uuid.NewString()
			r, err := claimIn(c.ledgers["e0"], 5*time.Second, claimOf(k, first, "body"))
			is.NoErr(err)
			is.Equal(r.State, claim.Granted)
			r, err = claimIn(c.ledgers["e1"], 5*time.Second, claimOf(k, uuid.NewString(), "body"))
			is.NoErr(err)
			is.Equal(r.State, claim.Running)
			is.Equal(r.Record.Attempt, first)
			r, err = claimIn(c.ledgers["e1"], 5*time.Second, claimOf(k, uuid.NewString(), "other"))
			is.NoErr(err)
			is.Equal(r.State, claim.KeyReused)
			b := billOf(k, 7)
			safety, err := settleIn(c.ledgers["e0"], 5*time.Second, Settlement{
				Org: "org", Key: k, Attempt: first, Outcome: request.Completed, Answer: []byte("yes"), Bill: &b,
			})
			is.NoErr(err)
			is.Equal(safety, bill.InTable)
			r, err = claimIn(c.ledgers["e2"], 5*time.Second, claimOf(k, uuid.NewString(), "body"))
			is.NoErr(err)
			is.Equal(r.State, claim.Settled)
			is.Equal(string(r.Record.Answer), "yes")
			is.Equal(r.Record.Outcome, request.Completed)
			is.Equal(c.allBills("e3"), []Bill{b}) // billed again by the retry, and once
		})
	}
}

func TestKeysOutsideTheWindowAreRefused(t *testing.T) {
	inBubble(t, 2, func(is *is.I, c *cluster) {
		k := newKey()
		time.Sleep(25 * time.Hour)
		r, err := claimIn(c.ledgers["e0"], time.Second, claimOf(k, uuid.NewString(), "body"))
		is.NoErr(err)
		is.Equal(r.State, claim.KeyTooOld)
		ahead := keyAt(time.Now().Add(time.Hour))
		r, err = claimIn(c.ledgers["e0"], time.Second, claimOf(ahead, uuid.NewString(), "body"))
		is.NoErr(err)
		is.Equal(r.State, claim.KeyInvalid)
	})
}

// A VM is lost with a call running that may not be repeated. Its caller sends
// it again through another node. It must never run again, and the caller is
// told that nobody knows: at once when a new process has the node's place,
// else when the list of VMs has had time to lose it.
func TestClaimOfLostNodeIsUnknown(t *testing.T) {
	inBubble(t, 4, func(is *is.I, c *cluster) {
		k := newKey()
		_, err := claimIn(c.ledgers["e0"], 5*time.Second, claimOf(k, uuid.NewString(), "body"))
		is.NoErr(err)
		c.lose("e0")
		ask := func() claim.State {
			r, err := claimIn(c.ledgers["e1"], 10*time.Second, claimOf(k, uuid.NewString(), "body"))
			is.NoErr(err)
			return r.State
		}
		is.Equal(ask(), claim.Running)
		c.start(c.members[0])
		is.Equal(ask(), claim.Unknown)
		time.Sleep(time.Hour)
		is.Equal(ask(), claim.Unknown)
	})
}

// The table is down when a call comes that may not be repeated. It is refused,
// for certain: nothing was sent. The same attempt is granted when the table is
// back.
func TestTableDownRefusesClaims(t *testing.T) {
	inBubble(t, 4, func(is *is.I, c *cluster) {
		c.storeDown(true)
		r := claimOf(newKey(), uuid.NewString(), "body")
		_, err := claimIn(c.ledgers["e0"], 2*time.Second, r)
		is.True(errors.Is(err, ErrNotClaimed) || errors.Is(err, ErrClaimUnknown))
		c.storeDown(false)
		got, err := claimIn(c.ledgers["e0"], 5*time.Second, r)
		is.NoErr(err)
		is.Equal(got.State, claim.Granted)
	})
}

// The table takes a claim and its answer is lost on the way. The claim must be
// granted all the same, and only once.
func TestLostAnswerOfTheTableIsResolved(t *testing.T) {
	inBubble(t, 4, func(is *is.I, c *cluster) {
		c.fail(fault.Change{Table: &fault.Fault{LoseAcks: 1}})
		k := newKey()
		got, err := claimIn(c.ledgers["e0"], 5*time.Second, claimOf(k, uuid.NewString(), "body"))
		is.NoErr(err)
		is.Equal(got.State, claim.Granted)
		is.Equal(c.platform.Stats().LostAcks, uint64(1))
		got, err = claimIn(c.ledgers["e3"], 5*time.Second, claimOf(k, uuid.NewString(), "body"))
		is.NoErr(err)
		is.Equal(got.State, claim.Running)
	})
}

// A peer is frozen while it batches claims and collects bills. Calls through
// it must go on through others after the first wait, and it must do no harm
// when it is thawed and acts on all that it was asked.
func TestFrozenPeerIsPassedOver(t *testing.T) {
	inBubble(t, 4, func(is *is.I, c *cluster) {
		thaw := make(chan struct{})
		c.fabric.mu.Lock()
		for _, id := range []string{"e1", "e2", "e3"} {
			c.fabric.frozen[id] = thaw
		}
		c.fabric.mu.Unlock()
		var keys []string
		for range 20 {
			k := newKey()
			keys = append(keys, k)
			got, err := claimIn(c.ledgers["e0"], 8*time.Second, claimOf(k, uuid.NewString(), "body"))
			is.NoErr(err)
			is.Equal(got.State, claim.Granted)
			_, err = billIn(c.ledgers["e0"], 8*time.Second, billOf(k, 1))
			is.NoErr(err)
		}
		c.fabric.mu.Lock()
		clear(c.fabric.frozen)
		c.fabric.mu.Unlock()
		close(thaw)
		time.Sleep(20 * time.Second)
		for _, k := range keys {
			got, err := claimIn(c.ledgers["e2"], 8*time.Second, claimOf(k, uuid.NewString(), "body"))
			is.NoErr(err)
			is.Equal(got.State, claim.Running)
		}
		is.Equal(len(c.allBills("e3")), len(keys))
	})
}

// A claim's answer is lost between the nodes, twice. The node asks further and
// learns that it holds the key itself.
func TestLostAnswerOfPeersIsResolved(t *testing.T) {
	inBubble(t, 4, func(is *is.I, c *cluster) {
		c.fabric.mu.Lock()
		for _, vm := range c.members[1:] {
			c.fabric.lossy[vm.ID] = true
		}
		c.fabric.mu.Unlock()
		for range 10 {
			got, err := claimIn(c.ledgers["e0"], 8*time.Second, claimOf(newKey(), uuid.NewString(), "body"))
			is.NoErr(err)
			is.Equal(got.State, claim.Granted)
		}
	})
}

// The platform is down for long. Bills are safe in peers, and callers get
// their answers. Then the VM that keeps them is lost. When the platform is
// back, every bill is there once: the holders have written them.
func TestBillsOfLostNodeSurviveAnOutage(t *testing.T) {
	inBubble(t, 4, func(is *is.I, c *cluster) {
		c.storeDown(true)
		for i := range 10 {
			safety, err := billIn(c.ledgers["e0"], 8*time.Second, billOf(fmt.Sprint("k", i), 1))
			is.NoErr(err)
			is.Equal(safety, bill.InPeers)
		}
		c.lose("e0")
		time.Sleep(time.Minute)
		c.storeDown(false)
		time.Sleep(time.Minute)
		is.Equal(len(c.allBills("e1")), 10)
		is.Equal(c.ledgers["e1"].Stats().Waiting+c.ledgers["e1"].Stats().Held, 0)
	})
}

// The table alone is down. Bills go to the object store, and readers find them
// there beside those in the table.
func TestTableDownBillsGoToObjects(t *testing.T) {
	inBubble(t, 4, func(is *is.I, c *cluster) {
		safety, err := billIn(c.ledgers["e0"], 8*time.Second, billOf(newKey(), 1))
		is.NoErr(err)
		is.Equal(safety, bill.InTable)
		c.fail(fault.Change{Table: &fault.Fault{Down: true}})
		for range 5 {
			safety, err = billIn(c.ledgers["e0"], 8*time.Second, billOf(newKey(), 1))
			is.NoErr(err)
			is.Equal(safety, bill.InObjects)
		}
		c.fail(fault.Change{Table: &fault.Fault{}})
		is.Equal(len(c.allBills("e2")), 6)
	})
}

// A node is told to stop while the platform is down: it waits for its bills as
// long as it may, and leaves them to the peers that hold them. These write
// them at once when the platform is back.
func TestStoppingNodeLeavesBillsToPeers(t *testing.T) {
	inBubble(t, 4, func(is *is.I, c *cluster) {
		c.storeDown(true)
		_, err := billIn(c.ledgers["e0"], 8*time.Second, billOf(newKey(), 1))
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		err = c.ledgers["e0"].Close(ctx)
		is.True(err != nil) // says what is left
		is.NoErr(c.ledgers["e0"].Close(context.Background()))
		c.storeDown(false)
		time.Sleep(5 * time.Second)
		is.Equal(len(c.allBills("e1")), 1)
		_, err = billIn(c.ledgers["e0"], time.Second, billOf(newKey(), 1))
		is.True(errors.Is(err, ErrUnsafe))
	})
}

// Nobody takes the bill: the caller must not get its last bytes.
func TestBillThatNobodyTakesIsUnsafe(t *testing.T) {
	inBubble(t, 1, func(is *is.I, c *cluster) {
		c.storeDown(true)
		_, err := billIn(c.ledgers["e0"], 10*time.Second, billOf(newKey(), 1))
		is.True(errors.Is(err, ErrUnsafe))
	})
}

// The table is down when a call ends. Its bill is safe elsewhere, so its
// caller gets the answer, and the settlement follows when the table is back.
func TestSettlementFollowsAfterAnOutage(t *testing.T) {
	inBubble(t, 4, func(is *is.I, c *cluster) {
		k, attempt := newKey(), uuid.NewString()
		_, err := claimIn(c.ledgers["e0"], 5*time.Second, claimOf(k, attempt, "body"))
		is.NoErr(err)
		c.storeDown(true)
		b := billOf(k, 7)
		safety, err := settleIn(c.ledgers["e0"], 8*time.Second, Settlement{Org: "org", Key: k, Attempt: attempt, Outcome: request.Completed, Answer: []byte("yes"), Bill: &b})
		is.NoErr(err)
		is.Equal(safety, bill.InPeers)
		c.storeDown(false)
		time.Sleep(20 * time.Second)
		got, err := claimIn(c.ledgers["e1"], 5*time.Second, claimOf(k, uuid.NewString(), "body"))
		is.NoErr(err)
		is.Equal(got.State, claim.Settled)
		is.Equal(string(got.Record.Answer), "yes")
	})
}

// The platform is down for so long that the memory for bills is used up. The
// ledger says that it is not ready, so that new work is refused as not run,
// and says so no more when the platform has taken the bills.
func TestFullMemoryRefusesNewWork(t *testing.T) {
	inBubble(t, 4, func(is *is.I, c *cluster) {
		c.settings.MaxWaiting = 3
		l := c.start(platform.VM{ID: "e9", Peer: "e9", FailureDomain: "d9", State: platform.Live})
		c.storeDown(true)
		for range 3 {
			is.True(l.Ready())
			safety, err := billIn(l, 8*time.Second, billOf(newKey(), 1))
			is.NoErr(err)
			is.Equal(safety, bill.InPeers)
		}
		is.True(!l.Ready())
		_, err := billIn(l, 8*time.Second, billOf(newKey(), 1))
		is.True(errors.Is(err, ErrUnsafe))
		c.storeDown(false)
		time.Sleep(5 * time.Second)
		is.True(l.Ready())
		is.Equal(len(c.allBills("e1")), 3)
	})
}
