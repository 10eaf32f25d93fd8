package api

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/example"
	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// fakeRouter is a Router that records its calls. If failure is set, they fail with it.
type fakeRouter struct {
	snapshot *config.Snapshot
	chats    []ChatCall
	calls    []ServiceCall
	resumes  []ResumeCall
	failure  *request.Failure
	refused  []Refusal
}

func (b *fakeRouter) CountRefusal(r Refusal) { b.refused = append(b.refused, r) }

func (b *fakeRouter) Snapshot() *config.Snapshot { return b.snapshot }

func (b *fakeRouter) Chat(_ context.Context, call ChatCall, sink request.Sink) (request.Answer, error) {
	b.chats = append(b.chats, call)
	return b.answer(sink)
}

func (b *fakeRouter) ResumeStream(_ context.Context, call ResumeCall, sink request.Sink) (request.Answer, error) {
	b.resumes = append(b.resumes, call)
	return b.answer(sink)
}

// answer writes an answer of two chunks to sink. It fails after the first one if the
// failure may have run.
func (b *fakeRouter) answer(sink request.Sink) (request.Answer, error) {
	if b.failure != nil && b.failure.Outcome == request.NotRun {
		return request.Answer{}, b.failure
	}
	sink.Begin(request.Head{Version: "dues@1"})
	_ = sink.Text(1, "one ")
	if b.failure != nil {
		return request.Answer{}, b.failure
	}
	_ = sink.Text(2, "two")
	return request.Answer{Version: "dues@1", FinishReason: "stop", Usage: upstream.Usage{InputTokens: 3, OutputTokens: 2}, Cost: 9}, nil
}

func (b *fakeRouter) Service(_ context.Context, call ServiceCall) (upstream.ServiceAnswer, error) {
	b.calls = append(b.calls, call)
	if b.failure != nil {
		return upstream.ServiceAnswer{}, b.failure
	}
	return upstream.ServiceAnswer{Status: http.StatusOK, Body: []byte("{}")}, nil
}

func (b *fakeRouter) Addresses(string) Addresses {
	return Addresses{Addresses: []string{"10.0.0.1:8080"}, TTLMillis: 5000}
}

// reached returns the number of requests that reached the router.
func (b *fakeRouter) reached() int { return len(b.chats) + len(b.calls) + len(b.resumes) }

func newFakeRouter(t testing.TB) *fakeRouter {
	t.Helper()
	doc, err := example.Load("tarifas")
	if err != nil {
		t.Fatal(err)
	}
	snapshot, err := config.Compile(1, doc)
	if err != nil {
		t.Fatal(err)
	}
	return &fakeRouter{snapshot: snapshot}
}

// header is one header of a request.
type header struct{ name, value string }

const goodChat = `{"model":"draft","messages":[{"role":"user","content":"Hello."}]}`

// send sends a request with a known key, unless headers contains another one.
func send(b *fakeRouter, method, path, body string, headers ...header) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+example.DemoKey("cartagena"))
	for _, h := range headers {
		r.Header.Set(h.name, h.value)
	}
	w := httptest.NewRecorder()
	New(b).ServeHTTP(w, r)
	return w
}

func errorOf(t *testing.T, w *httptest.ResponseRecorder) errorDetail {
	t.Helper()
	var body errorBody
	is.New(t).NoErr(json.Unmarshal(w.Body.Bytes(), &body))
	return body.Error
}
