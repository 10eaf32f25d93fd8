package admin

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/config"
)

// fakeReaders implements all readers with fixed answers, or with an error.
type fakeReaders struct {
	err    error
	query  BillQuery
	lifted string
}

func (f *fakeReaders) Confirmations(_ context.Context, revision uint64) (Confirmation, error) {
	return Confirmation{Revision: revision, Members: 3, Have: 2, Needed: 3, Lagging: []string{"e3"}}, f.err
}

func (f *fakeReaders) Bills(_ context.Context, q BillQuery) (BillPage, error) {
	f.query = q
	return BillPage{Bills: []Bill{{Organisation: "tolu", Key: "k", Cost: 7}}, Next: "more"}, f.err
}

func (f *fakeReaders) Nodes(context.Context) ([]Node, error) { return []Node{{ID: "e1"}}, f.err }

func (f *fakeReaders) Upstreams(context.Context) ([]Upstream, error) { return nil, f.err }

func (f *fakeReaders) Rollouts(context.Context) ([]Rollout, error) {
	return []Rollout{{Version: "dues@3"}}, f.err
}

func (f *fakeReaders) Holds(context.Context) ([]Hold, error) {
	return []Hold{{Version: "dues@3", Term: 2}}, f.err
}

func (f *fakeReaders) Lift(_ context.Context, version string, term uint64) (bool, error) {
	if term != 2 {
		return false, f.err
	}
	f.lifted = version
	return true, f.err
}

func (f *fakeReaders) HeldCrashes(context.Context) ([]HeldCrash, error) {
	return []HeldCrash{{Key: "5cf9", Of: "message", State: "convicted", Crashes: 5}}, f.err
}

func (f *fakeReaders) Pardon(_ context.Context, key string) (bool, error) {
	if key == "x" {
		return false, errors.New(`key is "x", want hexadecimal digits`)
	}
	return key == "5cf9", f.err
}

func (f *fakeReaders) attach(d *Deps) {
	d.Confirmer, d.Bills, d.Nodes, d.Upstreams, d.Rollouts, d.Holds, d.Crashes = f, f, f, f, f, f, f
	d.Now = func() time.Time { return time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC) }
}

func TestStatusIsRead(t *testing.T) {
	f := new(fakeReaders)
	d := newFixture(t, f.attach)
	cases := []struct{ path, part string }{
		{"/admin/v1/configuration/status", `"revision": 1`},
		{"/admin/v1/configuration/status?revision=5", `"revision": 5`},
		{"/admin/v1/configuration/status", `"e3"`},
		{"/admin/v1/bills", `"cost": 7`},
		{"/admin/v1/nodes", `"e1"`},
		{"/admin/v1/upstreams", `"upstreams": []`},
		{"/admin/v1/rollouts", `"dues@3"`},
		{"/admin/v1/holds", `"term": 2`},
		{"/admin/v1/crashes", `"convicted"`},
	}
	for _, c := range cases {
		is := is.New(t)
		got := d.call("GET", c.path, "")
		is.Equal(got.status, http.StatusOK)
		is.True(strings.Contains(got.body, c.part)) // the answer has the part
	}
}

func TestUnreadableStatusIsAnError(t *testing.T) {
	d := newFixture(t, (&fakeReaders{err: errors.New("no peer answers")}).attach)
	noReaders := newFixture(t)
	for _, path := range []string{"configuration/status", "bills", "nodes", "upstreams", "rollouts", "holds", "crashes"} {
		is := is.New(t)
		is.True(d.call("GET", "/admin/v1/"+path, "").status >= 500)
		is.Equal(noReaders.call("GET", "/admin/v1/"+path, "").status, http.StatusNotImplemented)
	}
}

func TestAcceptedChangeListsLaggingNodes(t *testing.T) {
	is := is.New(t)
	var notified uint64
	d := newFixture(t, new(fakeReaders).attach, func(d *Deps) { d.OnAccepted = func(r uint64) { notified = r } })
	got := d.call("POST", "/admin/v1/preset", `{"name":"peak"}`, ifMatch(1)).acceptance()
	is.Equal(got.InForce.Revision, uint64(2))
	is.Equal(got.InForce.InForce, false)
	is.Equal(got.InForce.Lagging, []string{"e3"})
	is.Equal(notified, uint64(2)) // this node need not wait for its next read of the store
	failing := newFixture(t, (&fakeReaders{err: errors.New("no peer answers")}).attach)
	got = failing.call("POST", "/admin/v1/preset", `{"name":"peak"}`, ifMatch(1)).acceptance()
	is.Equal(got.Revision, uint64(2)) // accepted, although there is no confirmation
	is.True(got.InForce == nil)
}

func TestBillsAreQueriedByTime(t *testing.T) {
	is := is.New(t)
	f := new(fakeReaders)
	d := newFixture(t, f.attach)
	day := func(n int) time.Time { return time.Date(2026, 3, n, 0, 0, 0, 0, time.UTC) }
	is.Equal(d.call("GET", "/admin/v1/bills?organisation=tolu&from=2026-03-01&to=2026-03-02T00:00:00Z&cursor=c", "").status, 200)
	is.Equal(f.query, BillQuery{Organisation: "tolu", From: day(1), To: day(2), Cursor: "c"})
	is.Equal(d.call("GET", "/admin/v1/bills", "").status, 200)
	is.Equal(f.query.To.Sub(f.query.From), defaultBillSpan)
	is.Equal(d.call("GET", "/admin/v1/bills?from=2026-03-02&to=2026-03-01", "").status, 400)
	is.Equal(d.call("GET", "/admin/v1/bills?from=noon", "").status, 400)
	is.Equal(d.call("GET", "/admin/v1/bills?from=2026-01-01&to=2026-03-01", "").status, 400) // longer than maxBillSpan
}

// An operator lifts a hold that is out of date: the version turned bad again and is held a second
// time for another reason. The request names the term of the first hold, so the second hold stays.
func TestLiftAppliesToTheNamedTermOnly(t *testing.T) {
	is := is.New(t)
	f := new(fakeReaders)
	d := newFixture(t, f.attach)
	is.Equal(d.call("POST", "/admin/v1/holds/dues@3/lift", `{"term":1}`).status, http.StatusNotFound)
	is.Equal(f.lifted, "")
	is.Equal(d.call("POST", "/admin/v1/holds/dues@3/lift", `{"term":2}`).status, http.StatusOK)
	is.Equal(f.lifted, "dues@3")
}

// Fails if a pardon names no key, or an unknown one, and is reported as done.
func TestPardonNamesAHeldKey(t *testing.T) {
	is := is.New(t)
	d := newFixture(t, new(fakeReaders).attach)
	is.Equal(d.call("POST", "/admin/v1/crashes/5cf9/pardon", "").status, http.StatusOK)
	is.Equal(d.call("POST", "/admin/v1/crashes/5cf8/pardon", "").status, http.StatusNotFound)
	is.Equal(d.call("POST", "/admin/v1/crashes/x/pardon", "").status, http.StatusBadRequest)
	is.Equal(newFixture(t).call("POST", "/admin/v1/crashes/5cf9/pardon", "").status, http.StatusNotImplemented)
}

func TestKeysAreParsed(t *testing.T) {
	is := is.New(t)
	keys, err := ParseKeys([]string{config.HashKey("a"), "ben=" + config.HashKey("b")})
	is.NoErr(err)
	name, ok := keys.Operator("a")
	is.True(ok)
	is.Equal(name, defaultOperator)
	name, ok = keys.Operator("b")
	is.True(ok)
	is.Equal(name, "ben")
	_, ok = keys.Operator("c")
	is.True(!ok)
	_, ok = Keys{}.Operator("")
	is.True(!ok)
	_, err = ParseKeys([]string{"ben=secret"})
	is.True(err != nil)
	is.True(!strings.Contains(err.Error(), "secret")) // it may be the key itself
}
