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

// Two operators change revision 1 concurrently: one puts the peak preset in force, the other
// withdraws a version. The second change starts from the old document, so storing it would silently
// undo the first. It must get a conflict with the current revision.
func TestConflictReturnsTheCurrentRevision(t *testing.T) {
	is := is.New(t)
	d := newFixture(t)
	is.Equal(d.call("POST", "/admin/v1/preset", `{"name":"peak"}`, ifMatch(1)).status, http.StatusOK)
	got := d.call("POST", "/admin/v1/versions/dues@1/withdraw", "", ifMatch(1))
	is.Equal(got.status, http.StatusPreconditionFailed)
	is.Equal(*got.failure().Revision, uint64(2))
	is.Equal(got.header.Get("ETag"), ETag(2))
	is.Equal(got.failure().Outcome, NotApplied)
	is.Equal(string(findVersion(d.document(), "dues@1").State), "serving")
}

// Many operators increment a version's cost concurrently. Each reads, changes and retries after a
// conflict. Every accepted change must be in the result; a lost one shows as a smaller cost.
func TestConcurrentAcceptedChangesAreAllApplied(t *testing.T) {
	is := is.New(t)
	d := newFixture(t)
	const operators, changes = 8, 10
	var conflicts atomic.Int64
	var wg conc.WaitGroup
	for range operators {
		wg.Go(func() {
			for done := 0; done < changes; {
				if d.raiseCost() {
					done++
				} else {
					conflicts.Add(1)
				}
			}
		})
	}
	wg.Wait()
	is.Equal(findVersion(d.document(), "dues@1").InputCost, int64(400+operators*changes))
	is.Equal(d.revision(), uint64(1+operators*changes))
	t.Log("retries after a conflict:", conflicts.Load())
}

// raiseCost increments a version's cost. It returns false after a conflict.
func (d *fixture) raiseCost() bool {
	got := d.call("GET", "/admin/v1/versions/dues@1", "")
	var v VersionEntry
	got.decode(&v)
	body := fmt.Sprintf(`{"state":"serving","input_cost":%d,"output_cost":%d,"prior_quality":%g}`, v.InputCost+1, v.OutputCost, v.PriorQuality)
	put := d.call("PUT", "/admin/v1/models/dues/versions/dues@1", body, header{HeaderRevision, got.header.Get("ETag")})
	if put.status != http.StatusOK && put.status != http.StatusPreconditionFailed {
		d.t.Error(put.status, put.body)
	}
	return put.status == http.StatusOK
}

// The platform loses the answer to a commit that took effect. The change must be reported as
// accepted with its one revision; a second revision means that it was applied twice.
func TestChangeWithLostAcknowledgementIsAppliedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newFixture(t)
		d.setTableFault(fault.Fault{LoseAcks: 1})
		got := d.call("POST", "/admin/v1/preset", `{"name":"peak"}`, ifMatch(1), changeIDHeader("c1"))
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.acceptance().Revision, uint64(2))
		is.Equal(got.acceptance().Replayed, false)
		is.Equal(d.revision(), uint64(2))
	})
}

func (d *fixture) setTableFault(f fault.Fault) {
	if err := d.platform.SetFaults(fault.Change{Table: &f}); err != nil {
		d.t.Fatal(err)
	}
}

// The answer to a commit is lost and the store then stays down. The operator gets an unknown outcome
// with the change's id. When the store is back, the query by id returns "applied". Sending the change
// again does not apply it a second time, although there are later changes.
func TestUnknownOutcomeCanBeQueriedByChangeID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newFixture(t)
		d.setTableFault(fault.Fault{OneWay: true})
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		_, err := d.store.Apply(ctx, presetChange("c1", 1, "peak"))
		is.True(err != nil) // reads get no answer either
		d.setTableFault(fault.Fault{DelayMS: fault.MaxDelay.Milliseconds()})
		got := d.call("POST", "/admin/v1/preset", `{"name":"peak"}`, ifMatch(1), changeIDHeader("c2"))
		is.Equal(got.status, http.StatusServiceUnavailable)
		d.setTableFault(fault.Fault{})

		table := &answerLosingTable{Table: d.platform}
		d.store.table = table
		got = d.call("POST", "/admin/v1/preset", `{"name":"peak"}`, ifMatch(1), changeIDHeader("c3"))
		is.Equal(got.status, http.StatusGatewayTimeout)
		is.Equal(got.failure().Outcome, Unknown)
		is.Equal(got.failure().Change, "c3")
		is.Equal(got.header.Get("Retry-After"), "1")
		d.store.table = d.platform

		var status ChangeStatus
		d.call("GET", "/admin/v1/changes/c3", "").decode(&status)
		is.Equal(status.State, ChangeApplied)
		is.Equal(status.Record.Revision, uint64(2))
		is.Equal(status.Record.Operator, "ana")
		is.Equal(d.call("POST", "/admin/v1/preset", `{"name":"ordinary"}`, ifMatch(2)).status, http.StatusOK)
		replay := d.call("POST", "/admin/v1/preset", `{"name":"peak"}`, ifMatch(1), changeIDHeader("c3"))
		is.Equal(replay.status, http.StatusOK)
		is.Equal(replay.header.Get(HeaderReplayed), "true")
		is.Equal(replay.acceptance().Revision, uint64(2))
		is.Equal(d.document().Preset, "ordinary") // the later change stays in force
	})
}

// answerLosingTable loses the answer to its first commit, which takes effect, and refuses all later
// calls.
type answerLosingTable struct {
	platform.Table
	down bool
}

func (l *answerLosingTable) Get(ctx context.Context, key string) (platform.Row, error) {
	if l.down {
		return platform.Row{}, platform.ErrRefused
	}
	return l.Table.Get(ctx, key)
}

func (l *answerLosingTable) Commit(ctx context.Context, txn platform.Txn) (platform.CommitResult, error) {
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

// An operator queries a change that never arrived. As long as the head is at the change's base, a
// late copy may still take effect, so the state is "undecided". Once the head has moved, the state
// is "not applied".
func TestStateOfLostChangeDependsOnTheHead(t *testing.T) {
	is := is.New(t)
	d := newFixture(t)
	state := func() ChangeState {
		var status ChangeStatus
		d.call("GET", "/admin/v1/changes/lost?base=1", "").decode(&status)
		return status.State
	}
	is.Equal(state(), ChangeUndecided)
	is.Equal(d.call("POST", "/admin/v1/preset", `{"name":"peak"}`, ifMatch(1)).status, http.StatusOK)
	is.Equal(state(), ChangeNotApplied)
}

// A program uses one change id for two different changes. If the second got the acceptance of the
// first, the operator would take a withdrawal for accepted that was never made.
func TestChangeIDOfAnotherChangeIsRefused(t *testing.T) {
	is := is.New(t)
	d := newFixture(t)
	is.Equal(d.call("POST", "/admin/v1/preset", `{"name":"peak"}`, ifMatch(1), changeIDHeader("c")).status, http.StatusOK)
	for _, other := range []response{
		d.call("POST", "/admin/v1/preset", `{"name":"maintenance"}`, ifMatch(1), changeIDHeader("c")),
		d.call("POST", "/admin/v1/preset", `{"name":"peak"}`, ifMatch(2), changeIDHeader("c")),
		d.call("POST", "/admin/v1/versions/dues@1/withdraw", "", ifMatch(1), changeIDHeader("c")),
	} {
		is.Equal(other.status, http.StatusUnprocessableEntity)
		is.Equal(other.failure().Code, CodeChangeIDReused)
	}
	is.Equal(d.revision(), uint64(2))
}
