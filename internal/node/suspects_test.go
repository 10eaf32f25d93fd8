package node

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/membership"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/request"
)

// newTestSuspects returns the suspects of a node with a peer, and its log. Nothing is sent to
// the peer or received from it.
func newTestSuspects() (*suspects, *bytes.Buffer) {
	log := new(bytes.Buffer)
	n := &Node{settings: Settings{ID: "e1"}, deps: Deps{Log: slog.New(slog.NewTextHandler(log, nil))}}
	s := newSuspects(n)
	s.setPeers(&membership.View{Entries: []membership.Member{{VM: platform.VM{ID: "e1"}}, {VM: platform.VM{ID: "e2", Peer: "10.0.0.2:1"}}}})
	return s, log
}

// Fails if a request waits for its whole deadline for a decision that never comes, and is then
// accused of crashing upstreams.
func TestRequestWithoutDecisionIsRefusedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, log := newTestSuspects()
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
		defer cancel()
		began := time.Now()
		fail := s.admit(ctx, "request-1", request.NewFingerprint("org", []byte("body")), "eng1")
		is.True(time.Since(began) <= 10*time.Second)
		is.Equal(fail.Code, request.CodeUnconfirmed)
		is.Equal(fail.Outcome, request.NotRun)
		is.True(fail.RetryAfter > 0)
		is.True(strings.Contains(log.String(), "event=1624 request=request-1"))
	})
}

// Fails if a request is accused of crashing upstreams because its node was paused
// between its admission and its start.
func TestRequestOfPausedNodeIsNotAccused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, log := newTestSuspects()
		f := request.NewFingerprint("org", []byte("body"))
		is.True(s.mayStart("request-1", f, "eng1").Code == request.CodeUnconfirmed)
		is.True(strings.Contains(log.String(), "event=1624 request=request-1"))
		s.setPeers(&membership.View{Entries: []membership.Member{{VM: platform.VM{ID: "e1"}}}}) // alone, it needs no answer
		is.Equal(s.mayStart("request-1", f, "eng1"), nil)
	})
}
