package admin

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/example"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
)

const (
	operatorKey = "night-and-day"
	callerKey   = "demo-cartagena"
)

// fixture is an administration API over an in-memory platform.
type fixture struct {
	t        *testing.T
	platform *memory.Platform
	store    *Store
	server   *Server
}

// newFixture returns a fixture with the tarifas example as revision 1.
func newFixture(t *testing.T, change ...func(*Deps)) *fixture {
	t.Helper()
	d := newEmptyFixture(t, change...)
	_, applied, err := d.store.Put(context.Background(), 0, tarifas(t), "first")
	if err != nil || !applied {
		t.Fatal(applied, err)
	}
	return d
}

func newEmptyFixture(t *testing.T, change ...func(*Deps)) *fixture {
	t.Helper()
	p := memory.New()
	keys, err := ParseKeys([]string{"ana=" + config.HashKey(operatorKey)})
	if err != nil {
		t.Fatal(err)
	}
	deps := Deps{Store: NewStore(p), Keys: keys, Log: slog.New(slog.DiscardHandler)}
	for _, c := range change {
		c(&deps)
	}
	return &fixture{t: t, platform: p, store: deps.Store, server: NewServer(deps)}
}

func tarifas(t *testing.T) *config.Document {
	t.Helper()
	doc, err := example.Load("tarifas")
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

// response is one answer of the API.
type response struct {
	t      *testing.T
	status int
	header http.Header
	body   string
}

func (r response) decode(v any) {
	r.t.Helper()
	if err := json.Unmarshal([]byte(r.body), v); err != nil {
		r.t.Fatalf("%v in %s", err, r.body)
	}
}

func (r response) failure() Failure {
	var body FailureBody
	r.decode(&body)
	return body.Error
}

func (r response) acceptance() Acceptance {
	var a Acceptance
	r.decode(&a)
	return a
}

// header is one header field of a request.
type header struct{ name, value string }

func ifMatch(revision uint64) header { return header{HeaderRevision, ETag(revision)} }

func changeIDHeader(id string) header { return header{HeaderChangeID, id} }

func (d *fixture) call(method, path, body string, headers ...header) response {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+operatorKey)
	for _, h := range headers {
		r.Header.Set(h.name, h.value)
	}
	w := httptest.NewRecorder()
	d.server.ServeHTTP(w, r)
	return response{t: d.t, status: w.Code, header: w.Header(), body: w.Body.String()}
}

func (d *fixture) revision() uint64 {
	d.t.Helper()
	head, _, err := d.store.Head(context.Background())
	is.New(d.t).NoErr(err)
	return head.Revision
}

func (d *fixture) document() *config.Document {
	d.t.Helper()
	_, doc, err := d.store.Current(context.Background())
	is.New(d.t).NoErr(err)
	return doc
}
