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

// desk is an administration API over a platform in memory.
type desk struct {
	t        *testing.T
	platform *memory.Platform
	store    *Store
	server   *Server
}

// newDesk starts with the tarifas example as revision 1.
func newDesk(t *testing.T, change ...func(*Deps)) *desk {
	t.Helper()
	d := emptyDesk(t, change...)
	_, applied, err := d.store.Put(context.Background(), 0, tarifas(t), "first")
	if err != nil || !applied {
		t.Fatal(applied, err)
	}
	return d
}

func emptyDesk(t *testing.T, change ...func(*Deps)) *desk {
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
	return &desk{t: t, platform: p, store: deps.Store, server: NewServer(deps)}
}

func tarifas(t *testing.T) *config.Document {
	t.Helper()
	doc, err := example.Load("tarifas")
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

// reply is an answer of the API.
type reply struct {
	t      *testing.T
	status int
	header http.Header
	body   string
}

func (r reply) into(v any) {
	r.t.Helper()
	if err := json.Unmarshal([]byte(r.body), v); err != nil {
		r.t.Fatalf("%v in %s", err, r.body)
	}
}

func (r reply) failure() Failure {
	var body FailureBody
	r.into(&body)
	return body.Error
}

func (r reply) acceptance() Acceptance {
	var a Acceptance
	r.into(&a)
	return a
}

// header is one header of a request.
type header struct{ name, value string }

func ifMatch(revision uint64) header { return header{HeaderRevision, Tag(revision)} }

func changeIs(id string) header { return header{HeaderChange, id} }

func (d *desk) call(method, path, body string, headers ...header) reply {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+operatorKey)
	for _, h := range headers {
		r.Header.Set(h.name, h.value)
	}
	w := httptest.NewRecorder()
	d.server.ServeHTTP(w, r)
	return reply{t: d.t, status: w.Code, header: w.Header(), body: w.Body.String()}
}

func (d *desk) revision() uint64 {
	d.t.Helper()
	head, _, err := d.store.Head(context.Background())
	is.New(d.t).NoErr(err)
	return head.Revision
}

func (d *desk) document() *config.Document {
	d.t.Helper()
	_, doc, err := d.store.Current(context.Background())
	is.New(d.t).NoErr(err)
	return doc
}
