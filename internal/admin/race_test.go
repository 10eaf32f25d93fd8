package admin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
)

// Two operators read revision 1 and both change it: one puts the peak preset
// in force, the other withdraws a version. The slower one's form holds the old
// document, so storing it would undo the faster one's change in silence. The
// loser must hear so, with the revision to start again from.
func TestLoserOfARaceIsToldThePresentRevision(t *testing.T) {
	is := is.New(t)
	d := newDesk(t)
	is.Equal(d.call("POST", "/admin/v1/preset", `{"name":"peak"}`, ifMatch(1)).status, http.StatusOK)
	got := d.call("POST", "/admin/v1/versions/dues@1/withdraw", "", ifMatch(1))
	is.Equal(got.status, http.StatusPreconditionFailed)
	is.Equal(*got.failure().Revision, uint64(2))
	is.Equal(got.header.Get("ETag"), Tag(2))
	is.Equal(got.failure().Outcome, NotApplied)
	is.Equal(string(findVersion(d.document(), "dues@1").State), "serving")
}

// Many operators add a version's cost one by one, each reading, changing and
// trying again when told that another came first. Every accepted change must
// be in the result: a lost one would show as a smaller cost.
func TestNoAcceptedChangeIsLostAmongMany(t *testing.T) {
	is := is.New(t)
	d := newDesk(t)
	const operators, changes = 8, 10
	var refused atomic.Int64
	var all conc.WaitGroup
	for range operators {
		all.Go(func() {
			for done := 0; done < changes; {
				if d.raiseCost() {
					done++
				} else {
					refused.Add(1)
				}
			}
		})
	}
	all.Wait()
	is.Equal(findVersion(d.document(), "dues@1").InputCost, int64(400+operators*changes))
	is.Equal(d.revision(), uint64(1+operators*changes))
	t.Log("refused and tried again:", refused.Load())
}

// raiseCost is false when another change came first.
func (d *desk) raiseCost() bool {
	got := d.call("GET", "/admin/v1/versions/dues@1", "")
	var v VersionEntry
	got.into(&v)
	body := fmt.Sprintf(`{"state":"serving","input_cost":%d,"output_cost":%d,"prior_quality":%g}`, v.InputCost+1, v.OutputCost, v.PriorQuality)
	put := d.call("PUT", "/admin/v1/models/dues/versions/dues@1", body, header{HeaderRevision, got.header.Get("ETag")})
	if put.status != http.StatusOK && put.status != http.StatusPreconditionFailed {
		d.t.Error(put.status, put.body)
	}
	return put.status == http.StatusOK
}

// The platform loses the answer to a change that took effect. The operator
// must hear "accepted", with the one revision that came of it; a second
// revision would be the change applied twice.
func TestLostAcknowledgementIsAcceptedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDesk(t)
		d.tableFails(fault.Fault{LoseAcks: 1})
		got := d.call("POST", "/admin/v1/preset", `{"name":"peak"}`, ifMatch(1), changeIs("c1"))
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.acceptance().Revision, uint64(2))
		is.Equal(got.acceptance().Replayed, false)
		is.Equal(d.revision(), uint64(2))
	})
}

func (d *desk) tableFails(f fault.Fault) {
	if err := d.platform.SetFaults(fault.Change{Table: &f}); err != nil {
		d.t.Fatal(err)
	}
}

// The answer is lost and the store then stays down. The operator is told that
// the outcome is unknown, and an id to ask with. In the morning the store is
// back, the id says "applied", and sending the change again does not apply it
// a second time, although other changes have come since.
func TestUnknownOutcomeCanBeAskedForLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDesk(t)
		d.tableFails(fault.Fault{OneWay: true})
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		_, err := d.store.Apply(ctx, presetChange("c1", 1, "peak"))
		is.True(err != nil) // no read comes back either
		d.tableFails(fault.Fault{DelayMS: fault.MaxDelay.Milliseconds()})
		got := d.call("POST", "/admin/v1/preset", `{"name":"peak"}`, ifMatch(1), changeIs("c2"))
		is.Equal(got.status, http.StatusServiceUnavailable)
		d.tableFails(fault.Fault{})

		lost := &losing{Table: d.platform}
		d.store.table = lost
		got = d.call("POST", "/admin/v1/preset", `{"name":"peak"}`, ifMatch(1), changeIs("c3"))
		is.Equal(got.status, http.StatusGatewayTimeout)
		is.Equal(got.failure().Outcome, Unknown)
		is.Equal(got.failure().Change, "c3")
		is.Equal(got.header.Get("Retry-After"), "1")
		d.store.table = d.platform

		var status ChangeStatus
		d.call("GET", "/admin/v1/changes/c3", "").into(&status)
		is.Equal(status.State, ChangeApplied)
		is.Equal(status.Record.Revision, uint64(2))
		is.Equal(status.Record.Operator, "ana")
		is.Equal(d.call("POST", "/admin/v1/preset", `{"name":"ordinary"}`, ifMatch(2)).status, http.StatusOK)
		again := d.call("POST", "/admin/v1/preset", `{"name":"peak"}`, ifMatch(1), changeIs("c3"))
		is.Equal(again.status, http.StatusOK)
		is.Equal(again.header.Get(HeaderReplayed), "true")
		is.Equal(again.acceptance().Revision, uint64(2))
		is.Equal(d.document().Preset, "ordinary") // the later change stands
	})
}

// losing lets the first commit take effect, loses its answer and is down from
// then on.
type losing struct {
	platform.Table
	down bool
}

func (l *losing) Get(ctx context.Context, key string) (platform.Row, error) {
	if l.down {
		return platform.Row{}, platform.ErrRefused
	}
	return l.Table.Get(ctx, key)
}

func (l *losing) Commit(ctx context.Context, txn platform.Txn) (platform.CommitResult, error) {
	if l.down {
		return platform.CommitResult{}, platform.ErrRefused
	}
	l.down = true
	_, err := l.Table.Commit(ctx, txn)
	return platform.CommitResult{}, errors.Join(err, platform.ErrUnknown)
}

func presetChange(id string, base uint64, preset string) Change {
	return Change{ID: id, Base: base, Digest: preset, Edit: func(d *config.Document) (*config.Document, error) {
		d.Preset = preset
		return d, nil
	}}
}

// An operator asks what became of a change that never arrived. As long as the
// head is at the change's base a late copy may still take effect, so the
// answer is "undecided"; once the head has moved it is a firm no.
func TestChangeThatNeverArrivedIsDecidedByTheHead(t *testing.T) {
	is := is.New(t)
	d := newDesk(t)
	state := func() ChangeState {
		var status ChangeStatus
		d.call("GET", "/admin/v1/changes/lost?base=1", "").into(&status)
		return status.State
	}
	is.Equal(state(), ChangeUndecided)
	is.Equal(d.call("POST", "/admin/v1/preset", `{"name":"peak"}`, ifMatch(1)).status, http.StatusOK)
	is.Equal(state(), ChangeNotApplied)
}

// A program uses one change id for two different changes. Answering the second
// with the first one's acceptance would tell the operator that a withdrawal
// is in force which nobody made.
func TestOneIDIsOfOneChange(t *testing.T) {
	is := is.New(t)
	d := newDesk(t)
	is.Equal(d.call("POST", "/admin/v1/preset", `{"name":"peak"}`, ifMatch(1), changeIs("c")).status, http.StatusOK)
	for _, other := range []reply{
		d.call("POST", "/admin/v1/preset", `{"name":"maintenance"}`, ifMatch(1), changeIs("c")),
		d.call("POST", "/admin/v1/preset", `{"name":"peak"}`, ifMatch(2), changeIs("c")),
		d.call("POST", "/admin/v1/versions/dues@1/withdraw", "", ifMatch(1), changeIs("c")),
	} {
		is.Equal(other.status, http.StatusUnprocessableEntity)
		is.Equal(other.failure().Code, CodeKeyReused)
	}
	is.Equal(d.revision(), uint64(2))
}
