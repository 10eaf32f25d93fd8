package engine_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/standin/engine"
	"github.com/hickorybank/hickorybank/internal/upstream"
	"github.com/hickorybank/hickorybank/internal/upstream/client"
)

// A draft stops in the middle because the connection to the engine breaks. The
// engine goes on; the stream is resumed from the last piece and ends whole,
// with one run.
func TestCutStreamIsResumed(t *testing.T) {
	is := is.New(t)
	r := newRig(t, engine.Settings{TokensPerAnswer: 5})
	r.faults(t, func(f *engine.Faults) { f.CutStreams, f.CutAfter = 1, 2 })
	pieces, err := readAll(r.start(t, attempt("a", "v1", "hello")))
	is.Equal(reachOf(t, err), upstream.MaybeRun)
	is.Equal(len(pieces), 2)
	st, err := r.client.Resume(context.Background(), r.server.Addr(), "a", 2)
	is.NoErr(err)
	rest, err := readAll(st)
	is.NoErr(err)
	pieces = append(pieces, rest...)
	is.Equal(len(pieces), 5)
	for i, c := range pieces {
		is.Equal(c.Seq, i+1)
		is.Equal(c.Attempt, "a")
		is.Equal(c.Done, i == 4)
	}
	is.Equal(pieces[0].Text, engine.FirstText("v1", engine.Digest("hello"), "a"))
	is.Equal(r.server.Counts().Started, 1)
}

// An engine is full of answers that nobody reads: their callers have gone. It
// gives them up after the grace time, and knows no stream then.
func TestUnreadGenerationIsGivenUp(t *testing.T) {
	is := is.New(t)
	r := newRig(t, engine.Settings{TokenGap: never, TokensPerAnswer: 2, ResumeGrace: 10 * time.Millisecond})
	st := r.start(t, attempt("a", "v1", "hello"))
	waitFor(t, "the run begins", func() bool { return r.server.Counts().Started == 1 })
	is.NoErr(st.Close())
	waitFor(t, "the run is cancelled", func() bool { return r.server.Counts().Cancelled == 1 })
	_, err := r.client.Resume(context.Background(), r.server.Addr(), "a", 0)
	is.True(errors.Is(err, upstream.ErrUnknownStream))
}

func TestCancelledStreamNeverEndsWell(t *testing.T) {
	is := is.New(t)
	r := newRig(t, engine.Settings{TokenGap: never, TokensPerAnswer: 2})
	st := r.start(t, attempt("a", "v1", "hello"))
	waitFor(t, "the run begins", func() bool { return r.server.Counts().Started == 1 })
	is.NoErr(r.client.Cancel(context.Background(), r.server.Addr(), "a"))
	_, err := readAll(st)
	is.Equal(reachOf(t, err), upstream.MaybeRun)
	is.Equal(r.server.Runs(0).Runs[0].State, engine.RunCancelled)
	err = r.client.Cancel(context.Background(), r.server.Addr(), "b")
	is.True(errors.Is(err, upstream.ErrUnknownStream))
}

// A caller reads a piece of somebody else's answer. The client hands it on as
// it came, so that the router can tell by the attempt.
func TestCrossedPieceNamesItsAttempt(t *testing.T) {
	for _, other := range []string{"", "b"} {
		t.Run("other "+other, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, engine.Settings{TokensPerAnswer: 3})
			want := "not-a"
			if other != "" {
				_, err := readAll(r.start(t, attempt(other, "v1", "theirs")))
				is.NoErr(err)
				want = other
			}
			r.faults(t, func(f *engine.Faults) { f.CrossStreams = 1 })
			pieces, err := readAll(r.start(t, attempt("a", "v1", "mine")))
			is.NoErr(err)
			var attempts []string
			for _, c := range pieces {
				attempts = append(attempts, c.Attempt)
			}
			is.Equal(attempts, []string{"a", want, "a", "a"})
		})
	}
}

// A version goes bad while it serves: its answers break off with an error.
func TestBadVersionFailsInTheMiddle(t *testing.T) {
	is := is.New(t)
	r := newRig(t, engine.Settings{TokensPerAnswer: 8, Versions: []string{"good", "bad"}, BatchLimit: 8})
	r.faults(t, func(f *engine.Faults) { f.BadVersions = []engine.BadVersion{{Version: "bad", ErrorRate: 1}} })
	_, err := readAll(r.start(t, attempt("a", "good", "x")))
	is.NoErr(err)
	pieces, err := readAll(r.start(t, attempt("b", "bad", "x")))
	var reported *client.StreamError
	is.True(errors.As(err, &reported))
	is.True(len(pieces) < 8)
	is.Equal(r.server.Counts().Failed, 1)
	r.faults(t, func(f *engine.Faults) { f.BadVersions[0].ErrorRate = 0.5 })
	failed := 0
	for i := range 200 {
		if _, err := readAll(r.start(t, attempt(fmt.Sprint("c", i), "bad", "x"))); err != nil {
			failed++
		}
	}
	is.True(failed > 50 && failed < 150) // a fixed series of the seed
}

// A fresh prompt and one whose prefix came from another engine.
func TestPrefixMovesBetweenEngines(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	from := newRig(t, engine.Settings{})
	to := newRig(t, engine.Settings{})
	a := attempt("a", "v1", "a long prefix with a short end")
	a.PrefixHash = 0xabc
	pieces, err := readAll(from.start(t, a))
	is.NoErr(err)
	is.Equal(pieces[0].Usage.CachedTokens, 0)
	_, err = to.client.ExportPrefix(ctx, to.server.Addr(), 0xabc)
	is.True(errors.Is(err, upstream.ErrNotCached))
	kv, err := from.client.ExportPrefix(ctx, from.server.Addr(), 0xabc)
	is.NoErr(err)
	is.NoErr(to.client.ImportPrefix(ctx, to.server.Addr(), 0xabc, kv))
	is.True(to.client.ImportPrefix(ctx, to.server.Addr(), 0xabd, kv) != nil) // another prefix's
	pieces, err = readAll(to.start(t, a))
	is.NoErr(err)
	is.True(pieces[0].Usage.CachedTokens > 0)
	waitFor(t, "the cache event is published", func() bool {
		events, err := to.client.CacheEvents(ctx, to.server.Addr(), 0)
		is.NoErr(err)
		return len(events) == 1 && events[0].Prefix == 0xabc && events[0].Stored
	})
}
