package node

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/standin/engine"
	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
	"github.com/hickorybank/hickorybank/internal/standin/service"
)

var small = fleetSize{nodes: 2, engines: 3, services: 2, tokens: 4, tokenGap: time.Millisecond}

// A dues statement is billed twice. The agent's program gets its answer late and
// sends the request again with its key through another entry; both run. The
// cause would be a bill for each run instead of one for each key.
func TestRetryThroughAnotherNodeIsOneBill(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, small)
	for _, n := range f.nodes {
		r, err := f.chat(n, "dues@2", "draft-1", "statement")
		is.NoErr(err)
		is.True(whole(r, "statement", small.tokens))
	}
	is.Equal(f.bills()["draft-1"], 1)
}

// A settlement runs twice. Its answer is lost after the service took it; the
// entry must not send it again, and the caller's retry through another entry
// must not either. The cause would be a retry of a call that may have run.
func TestLostAnswerOfSettlementRunsOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, small)
	for _, s := range f.services {
		is.NoErr(s.ChangeFaults(func(c *service.Faults) error { c.LoseAnswers = 1; return nil }))
	}
	r, err := f.settle(f.nodes[0], "settle-1", "dues")
	is.NoErr(err)
	is.True(strings.Contains(r.body, `"outcome":"unknown"`))
	r, err = f.settle(f.nodes[1], "settle-1", "dues")
	is.NoErr(err)
	is.True(strings.Contains(r.body, `"outcome":"unknown"`))
	runs := 0
	for _, s := range f.services {
		runs += s.Runs(0).Total
	}
	is.Equal(runs, 1)
}

// A settlement's answer comes again to a retry through the other entry, and the
// call is billed once. The same key with another body is refused, not run.
func TestSettlementIsReplayed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, small)
	first, err := f.settle(f.nodes[0], "settle-2", "dues")
	is.NoErr(err)
	is.Equal(first.status, http.StatusOK)
	again, err := f.settle(f.nodes[1], "settle-2", "dues")
	is.NoErr(err)
	is.Equal(again.body, first.body)
	other, err := f.settle(f.nodes[1], "settle-2", "other")
	is.NoErr(err)
	is.Equal(other.status, http.StatusUnprocessableEntity)
	is.True(strings.Contains(other.body, `"outcome":"not_run"`))
	is.Equal(f.bills()["settle-2"], 1)
}

// One draft crashes each engine that runs it, and its caller sends it again with
// new keys through both entries. At most two engines may be lost to it; then it
// is refused, and others still get their answers.
func TestCrashingRequestLosesTwoEngines(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	size := small
	size.engines = 5
	f := newFleet(t, size)
	for _, e := range f.engines {
		is.NoErr(e.ChangeFaults(func(c *engine.Faults) error {
			c.CrashMarker = "poison"
			c.RestartMillis = time.Hour.Milliseconds()
			return nil
		}))
	}
	for i := range 6 {
		r, err := f.chat(f.nodes[i%2], "dues@2", "", "poison")
		is.NoErr(err)
		is.True(r.status != http.StatusOK)
	}
	crashes := 0
	for _, e := range f.engines {
		crashes += int(e.Counts().Crashes)
	}
	is.True(crashes <= 2)
	r, err := f.chat(f.nodes[0], "dues@2", "", "innocent")
	is.NoErr(err)
	is.True(whole(r, "innocent", size.tokens))
}

// The platform's table is down while drafts are written. Their bills wait in
// other ways, the answers go out, and when the table is back each has one bill.
func TestBillsWaitOutATableOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	size := small
	size.nodes = 4
	f := newFleet(t, size)
	is.NoErr(f.store.SetFaults(fault.Change{Table: &fault.Fault{Down: true}}))
	keys := []string{"k1", "k2", "k3", "k4"}
	for i, key := range keys {
		f.await("answered in the outage", func() bool {
			r, err := f.chat(f.nodes[i], "dues@2", key, "statement")
			return err == nil && whole(r, "statement", size.tokens)
		})
	}
	is.NoErr(f.store.SetFaults(fault.Change{Table: &fault.Fault{}}))
	f.await("each has its bill", func() bool {
		counts := f.bills()
		for _, key := range keys {
			if counts[key] != 1 {
				return false
			}
		}
		return true
	})
}

// An instructor's draft breaks off with its entry. The caller reads on through
// the other one from the piece that it has, to the end, with one bill.
func TestReadOnThroughAnotherNode(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, small)
	body := `{"model":"dues@2","stream":true,"messages":[{"role":"user","content":"statement"}]}`
	r, err := f.post(f.nodes[0], sent{path: "/v1/chat/completions", key: "draft-3", body: body})
	is.NoErr(err)
	token := r.header.Get("Hickorybank-Stream")
	is.True(token != "")
	req, err := http.NewRequest(http.MethodGet, "http://"+f.nodes[1].Addr()+"/v1/streams/"+token+"?after=2", nil)
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer demo-cartagena")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	rest := make([]byte, 1<<16)
	n := 0
	for {
		m, err := resp.Body.Read(rest[n:])
		n += m
		if err != nil {
			break
		}
	}
	is.NoErr(resp.Body.Close())
	text := string(rest[:n])
	is.True(!strings.Contains(text, "id: 2\n"))
	is.True(strings.Contains(text, "id: 3\n"))
	is.True(strings.Contains(text, "[DONE]"))
	is.Equal(f.bills()["draft-3"], 1)
}
