package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/request"
)

// fakeEntry is a fake entry node. The model named in a request selects its answer.
type fakeEntry struct {
	addresses []string
	ttl       int
	keys      []string
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/addresses" {
		fmt.Fprintf(w, `{"addresses":["%s"],"ttl_ms":%d}`, strings.Join(e.addresses, `","`), e.ttl)
		return
	}
	e.keys = append(e.keys, r.Header.Get("Idempotency-Key"))
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Hickorybank-Version", "dues@1")
	answer := firstPieceFor(string(body))
	switch {
	case strings.HasPrefix(r.URL.Path, "/v1/services/"):
		fmt.Fprintf(w, `{"path":"%s"}`, strings.TrimPrefix(r.URL.Path, "/v1/services/billing"))
	case strings.Contains(string(body), `"model":"refused"`):
		w.WriteHeader(http.StatusTooManyRequests)
		fmt.Fprint(w, `{"error":{"code":"overloaded","outcome":"not_run"}}`)
	case strings.Contains(string(body), `"model":"whole"`):
		w.Header().Set("Hickorybank-Cost-Micros", "77")
		fmt.Fprintf(w, `{"choices":[{"message":{"content":"%s t2 "},"finish_reason":"stop"}],"usage":{"prompt_tokens":1000,"completion_tokens":2}}`, answer)
	default:
		writeStream(w, string(body), answer)
	}
}

// firstPieceFor returns the first piece of a correct answer.
func firstPieceFor(body string) string {
	_, rest, _ := strings.Cut(body, `"user","content":"`)
	prompt, _, _ := strings.Cut(rest, `"`)
	return "[dues@1 " + promptDigest(prompt) + " a1]"
}

func writeStream(w io.Writer, body, answer string) {
	piece := func(text string) { fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":\"%s\"}}]}\n\n", text) }
	piece(answer + " ")
	piece("t2 ")
	if strings.Contains(body, `"model":"cut"`) {
		return
	}
	if strings.Contains(body, `"model":"failing"`) {
		fmt.Fprint(w, "data: {\"error\":{\"code\":\"upstream_failed\",\"outcome\":\"unknown\"}}\n\n")
		return
	}
	fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{\"content\":\"\"},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":1000,\"completion_tokens\":2}}\n\ndata: [DONE]\n\n")
}

func startEntry(t *testing.T) (*fakeEntry, string) {
	t.Helper()
	e := &fakeEntry{ttl: 60_000}
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	addr := strings.TrimPrefix(server.URL, "http://")
	e.addresses = []string{addr}
	return e, addr
}

// Each way in which an answer ends must give the right outcome, code, check and cost.
// Requests that must not run twice carry an idempotency key.
func TestRoutedLaneReportsEachOutcome(t *testing.T) {
	e, addr := startEntry(t)
	mix := &Mix{Prices: []Price{{Version: "dues@1", Input: 5, Output: 500}}}
	lane := NewRouted("r", []string{addr}, mix)
	clock := startClock()
	is.New(t).NoErr(lane.Start())
	defer lane.Close()
	cases := []struct {
		work    Work
		outcome request.Outcome
		code    string
		check   Check
		cost    int64
	}{
		{Work{Model: "whole"}, request.Completed, "", Whole, 77},
		{Work{Model: "streamed", Stream: true}, request.Completed, "", Whole, 6},
		{Work{Model: "cut", Stream: true}, noAnswer, "stream_broke", Unchecked, 0},
		{Work{Model: "failing", Stream: true}, request.Unknown, "upstream_failed", Unchecked, 0},
		{Work{Model: "refused", Stream: true}, request.NotRun, "overloaded", Unchecked, 0},
		{Work{Model: "refused"}, request.NotRun, "overloaded", Unchecked, 0},
		{Work{Service: "billing", Method: "GET", Path: "/receipts/"}, request.Completed, "", Whole, 0},
		{Work{Service: "billing", Method: "POST", Path: "/settlements"}, request.Completed, "", Whole, 0},
	}
	for i, c := range cases {
		is := is.New(t)
		got := lane.Do(context.Background(), Job{Seq: i, Work: &c.work}, clock)
		is.Equal(got.Outcome, c.outcome)
		is.Equal(got.Code, c.code)
		is.Equal(got.Check, c.check)
		is.Equal(got.Cost, c.cost)
		is.True(got.Ended > 0)
		is.Equal(e.keys[i] == "", c.work.Method == "GET") // requests that must not run twice have a key
	}
}

// An entry node is down, but still in an address list that has not expired. The lane
// must try the next address and drop the failed one. Nothing was sent, so nothing can
// run twice.
func TestRoutedLaneRedialsNextAddress(t *testing.T) {
	is := is.New(t)
	e, addr := startEntry(t)
	e.addresses = []string{"127.0.0.1:1", addr}
	lane := NewRouted("r", []string{addr}, new(Mix))
	clock := startClock()
	is.NoErr(lane.Start())
	defer lane.Close()
	redials := 0
	for i := range 4 {
		got := lane.Do(context.Background(), Job{Seq: i, Work: &Work{Model: "whole"}}, clock)
		is.Equal(got.Outcome, request.Completed)
		redials += got.Redials
	}
	is.Equal(redials, 1) // the failed address is dropped
}

// Without a reachable entry node, Start fails and jobs end with no_address.
func TestRoutedLaneFailsWithoutEntryNode(t *testing.T) {
	is := is.New(t)
	lane := NewRouted("r", []string{"127.0.0.1:1"}, new(Mix))
	defer lane.Close()
	clock := startClock()
	is.True(lane.Start() != nil)
	got := lane.Do(context.Background(), Job{Work: &Work{Model: "whole"}}, clock)
	is.Equal(got.Outcome, noAnswer)
	is.Equal(got.Code, "no_address")
}
