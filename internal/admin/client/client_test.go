package client

import (
	"context"
	"errors"
	"log/slog"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/hickorybank/hickorybank/internal/admin"
	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/example"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newTestClient returns a client of an API over an in-memory platform with the sahel example.
func newTestClient(t *testing.T) *Client {
	t.Helper()
	is := is.New(t)
	store := admin.NewStore(memory.New())
	doc, err := example.Load("sahel")
	is.NoErr(err)
	_, _, err = store.Put(context.Background(), 0, doc, "first")
	is.NoErr(err)
	keys, err := admin.ParseKeys([]string{config.HashKey("key")})
	is.NoErr(err)
	server := httptest.NewServer(admin.NewServer(admin.Deps{Store: store, Keys: keys, Log: slog.New(slog.DiscardHandler)}))
	t.Cleanup(server.Close)
	c := New(server.URL+"/", "key")
	t.Cleanup(c.Close)
	return c
}

func TestClientReadsAndChanges(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := newTestClient(t)
	var doc config.Document
	revision, err := c.Get(ctx, "configuration", nil, &doc)
	is.NoErr(err)
	is.Equal(revision, uint64(1))
	is.Equal(doc.Preset, "ordinary")
	change := Change{Method: "POST", Path: "preset", Body: []byte(`{"name":"peak"}`), Base: revision, ID: "c1"}
	dryRun, err := c.DryRun(ctx, change)
	is.NoErr(err)
	is.Equal(len(dryRun.Differences), 1)
	a, err := c.Change(ctx, change)
	is.NoErr(err)
	is.Equal(a.Revision, uint64(2))
	a, err = c.Change(ctx, change)
	is.NoErr(err)
	is.True(a.Replayed)
	change.ID = "c2"
	_, err = c.Change(ctx, change)
	var failure *admin.Failure
	is.True(errors.As(err, &failure))
	is.Equal(failure.Code, admin.CodeConflict)
	is.Equal(*failure.Revision, uint64(2))
}

func TestClientDistinguishesNoAnswerFromRefusal(t *testing.T) {
	is := is.New(t)
	c := newTestClient(t)
	c.key = "other"
	var failure *admin.Failure
	is.True(errors.As(c.Post(context.Background(), "holds/v/lift", nil, nil), &failure))
	is.Equal(failure.Code, admin.CodeUnauthorised)
	unreachable := New("http://127.0.0.1:1", "key")
	var noAnswer *NoAnswer
	_, err := unreachable.Get(context.Background(), Path("versions", "a/b"), nil, nil)
	is.True(errors.As(err, &noAnswer))
}
