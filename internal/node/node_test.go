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

// A request is billed once, even if it runs twice. The caller gets its answer late and
// resends the request with the same key through another node, so both run. Bills must be
// kept per key, not per run.
func TestRetryThroughAnotherNodeIsBilledOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, small)
	for _, n := range f.nodes {
		r, err := f.chat(n, "dues@2", "draft-1", "statement")
		is.NoErr(err)
		is.True(isComplete(r, "statement", small.tokens))
	}
	is.Equal(f.bills()["draft-1"], 1)
}

// A service call runs at most once. Its answer is lost after the service received it.
// Neither the node nor the caller's retry through another node may send it again, since
// it may have run.
func TestServiceCallWithLostAnswerRunsOnce(t *testing.T) {
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

// A retry with the same key through another node gets the recorded answer, and the call is
// billed once. The same key with another body is refused and not run.
func TestRetryGetsTheRecordedServiceAnswer(t *testing.T) {
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

// Fails if one request crashes every engine. It crashes each engine that runs it, and its
// caller resends it with new keys through both nodes. At most two engines may crash; then
// it is refused, and other requests still get their answers.
func TestCrashingRequestCrashesAtMostTwoEngines(t *testing.T) {
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
	is.True(isComplete(r, "innocent", size.tokens))
}

// The platform's table is down while requests run. The answers are sent, their bills are kept
// elsewhere, and each request has one bill when the table is available again.
func TestBillsSurviveATableOutage(t *testing.T) {
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
			return err == nil && isComplete(r, "statement", size.tokens)
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

// A caller resumes a stream through another node after the last chunk it has. It gets the rest
// of the answer, and there is one bill.
func TestStreamResumesThroughAnotherNode(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, small)
	body := `{"model":"dues@2","stream":true,"messages":[{"role":"user","content":"statement"}]}`
	r, err := f.post(f.nodes[0], callerRequest{path: "/v1/chat/completions", key: "draft-3", body: body})
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
