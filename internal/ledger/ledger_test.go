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
			is.Equal(c.allBills("e3"), []Bill{b}) // the retry stores the bill again, but it counts once
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

// A VM is lost while it runs a non-repeatable call, and the caller retries through another
// node. The call must never run again. Its state is Unknown as soon as a new process runs
// in the node's place, or after the time limit of the list of VMs.
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

// A claim arrives while the table is down. It must fail, and the same attempt must be
// granted when the table is back.
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

// The table stores a claim but its answer is lost. The claim must still be granted, and
// only once.
func TestClaimIsGrantedAfterLostAnswerOfTheTable(t *testing.T) {
	inBubble(t, 4, func(is *is.I, c *cluster) {
		c.setFaults(fault.Change{Table: &fault.Fault{LoseAcks: 1}})
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

// Peers freeze while they batch claims and collect bills. Calls must continue through other
// nodes after the first timeout. When the peers resume and process the old calls, no claim
// may be granted again and no bill may count twice.
func TestFrozenPeersAreSkipped(t *testing.T) {
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

// Peers append a claim but their answers are lost. The node must try further batchers, in
// the end itself, and find that it holds the key.
func TestClaimIsGrantedAfterLostAnswersOfPeers(t *testing.T) {
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

// During a long outage of the platform, bills are held by peers. Then the VM with the bills
// is lost. If the holders did not write them when the platform is back, they would be lost.
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

// Only the table is down. Bills must go to the object store, and readers must find them
// there as well as those in the table.
func TestTableDownBillsGoToObjects(t *testing.T) {
	inBubble(t, 4, func(is *is.I, c *cluster) {
		safety, err := billIn(c.ledgers["e0"], 8*time.Second, billOf(newKey(), 1))
		is.NoErr(err)
		is.Equal(safety, bill.InTable)
		c.setFaults(fault.Change{Table: &fault.Fault{Down: true}})
		for range 5 {
			safety, err = billIn(c.ledgers["e0"], 8*time.Second, billOf(newKey(), 1))
			is.NoErr(err)
			is.Equal(safety, bill.InObjects)
		}
		c.setFaults(fault.Change{Table: &fault.Fault{}})
		is.Equal(len(c.allBills("e2")), 6)
	})
}

// A node stops while the platform is down. It waits for its bills until the time limit and
// then leaves them to the peers that hold them. The peers must write them as soon as the
// platform is back.
func TestStoppingNodeLeavesBillsToPeers(t *testing.T) {
	inBubble(t, 4, func(is *is.I, c *cluster) {
		c.storeDown(true)
		_, err := billIn(c.ledgers["e0"], 8*time.Second, billOf(newKey(), 1))
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		err = c.ledgers["e0"].Close(ctx)
		is.True(err != nil) // reports the bills that are not stored
		is.NoErr(c.ledgers["e0"].Close(context.Background()))
		c.storeDown(false)
		time.Sleep(5 * time.Second)
		is.Equal(len(c.allBills("e1")), 1)
		_, err = billIn(c.ledgers["e0"], time.Second, billOf(newKey(), 1))
		is.True(errors.Is(err, ErrUnsafe))
	})
}

// No store and no peer takes the bill. Bill must fail, so that the caller does not get the
// end of its answer unbilled.
func TestBillThatNoStoreOrPeerTakesIsUnsafe(t *testing.T) {
	inBubble(t, 1, func(is *is.I, c *cluster) {
		c.storeDown(true)
		_, err := billIn(c.ledgers["e0"], 10*time.Second, billOf(newKey(), 1))
		is.True(errors.Is(err, ErrUnsafe))
	})
}

// The table is down when a call ends. Its bill is safe elsewhere, so Settle succeeds. If
// the settlement were not written when the table is back, a retry would not get the answer.
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

// During a long outage of the platform, the limit of bills in memory is reached. Ready must
// be false then, so that new work is refused before it runs. It must be true again when the
// platform has taken the bills.
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
