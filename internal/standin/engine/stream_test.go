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

// The connection to the engine breaks in the middle of an answer. The generation must
// continue, and the stream resumed after the last chunk must complete it with one run.
func TestCutStreamIsResumed(t *testing.T) {
	is := is.New(t)
	r := newRig(t, engine.Settings{TokensPerAnswer: 5})
	r.faults(t, func(f *engine.Faults) { f.CutStreams, f.CutAfter = 1, 2 })
	chunks, err := readAll(r.start(t, attempt("a", "v1", "hello")))
	is.Equal(reachOf(t, err), upstream.MaybeRun)
	is.Equal(len(chunks), 2)
	st, err := r.client.Resume(context.Background(), r.server.Addr(), "a", 2)
	is.NoErr(err)
	rest, err := readAll(st)
	is.NoErr(err)
	chunks = append(chunks, rest...)
	is.Equal(len(chunks), 5)
	for i, c := range chunks {
		is.Equal(c.Seq, i+1)
		is.Equal(c.Attempt, "a")
		is.Equal(c.Done, i == 4)
	}
	is.Equal(chunks[0].Text, engine.FirstText("v1", engine.Digest("hello"), "a"))
	is.Equal(r.server.Counts().Started, 1)
}

// Callers have disconnected, and the engine would stay full of answers without readers.
// It must cancel such generations after the grace time and delete their streams.
func TestUnreadGenerationIsCancelled(t *testing.T) {
	is := is.New(t)
	r := newRig(t, engine.Settings{TokenGap: longDuration, TokensPerAnswer: 2, ResumeGrace: 10 * time.Millisecond})
	st := r.start(t, attempt("a", "v1", "hello"))
	waitFor(t, "the run begins", func() bool { return r.server.Counts().Started == 1 })
	is.NoErr(st.Close())
	waitFor(t, "the run is cancelled", func() bool { return r.server.Counts().Cancelled == 1 })
	_, err := r.client.Resume(context.Background(), r.server.Addr(), "a", 0)
	is.True(errors.Is(err, upstream.ErrUnknownStream))
}

func TestCancelledStreamReturnsError(t *testing.T) {
	is := is.New(t)
	r := newRig(t, engine.Settings{TokenGap: longDuration, TokensPerAnswer: 2})
	st := r.start(t, attempt("a", "v1", "hello"))
	waitFor(t, "the run begins", func() bool { return r.server.Counts().Started == 1 })
	is.NoErr(r.client.Cancel(context.Background(), r.server.Addr(), "a"))
	_, err := readAll(st)
	is.Equal(reachOf(t, err), upstream.MaybeRun)
	is.Equal(r.server.Runs(0).Runs[0].State, engine.RunCancelled)
	err = r.client.Cancel(context.Background(), r.server.Addr(), "b")
	is.True(errors.Is(err, upstream.ErrUnknownStream))
}

// A stream contains a chunk of another attempt. The client must return it unchanged, so
// that the router can detect it by the attempt ID.
func TestCrossedChunkKeepsItsAttempt(t *testing.T) {
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
			chunks, err := readAll(r.start(t, attempt("a", "v1", "mine")))
			is.NoErr(err)
			var attempts []string
			for _, c := range chunks {
				attempts = append(attempts, c.Attempt)
			}
			is.Equal(attempts, []string{"a", want, "a", "a"})
		})
	}
}

// A version fails while it serves. Its answers must end early with an error.
func TestBadVersionFailsDuringAnswer(t *testing.T) {
	is := is.New(t)
	r := newRig(t, engine.Settings{TokensPerAnswer: 8, Versions: []string{"good", "bad"}, BatchLimit: 8})
	r.faults(t, func(f *engine.Faults) { f.BadVersions = []engine.BadVersion{{Version: "bad", ErrorRate: 1}} })
	_, err := readAll(r.start(t, attempt("a", "good", "x")))
	is.NoErr(err)
	chunks, err := readAll(r.start(t, attempt("b", "bad", "x")))
	var reported *client.StreamError
	is.True(errors.As(err, &reported))
	is.True(len(chunks) < 8)
	is.Equal(r.server.Counts().Failed, 1)
	r.faults(t, func(f *engine.Faults) { f.BadVersions[0].ErrorRate = 0.5 })
	failed := 0
	for i := range 200 {
		if _, err := readAll(r.start(t, attempt(fmt.Sprint("c", i), "bad", "x"))); err != nil {
			failed++
		}
	}
	is.True(failed > 50 && failed < 150) // the sequence is fixed by the seed
}

// A prefix exported by one engine and imported by another must count as cached there.
func TestPrefixMovesBetweenEngines(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	from := newRig(t, engine.Settings{})
	to := newRig(t, engine.Settings{})
	a := attempt("a", "v1", "a long prefix with a short end")
	a.PrefixHash = 0xabc
	chunks, err := readAll(from.start(t, a))
	is.NoErr(err)
	is.Equal(chunks[0].Usage.CachedTokens, 0)
	_, err = to.client.ExportPrefix(ctx, to.server.Addr(), 0xabc)
	is.True(errors.Is(err, upstream.ErrNotCached))
	kv, err := from.client.ExportPrefix(ctx, from.server.Addr(), 0xabc)
	is.NoErr(err)
	is.NoErr(to.client.ImportPrefix(ctx, to.server.Addr(), 0xabc, kv))
	is.True(to.client.ImportPrefix(ctx, to.server.Addr(), 0xabd, kv) != nil) // kv is for another prefix
	chunks, err = readAll(to.start(t, a))
	is.NoErr(err)
	is.True(chunks[0].Usage.CachedTokens > 0)
	waitFor(t, "the cache event is published", func() bool {
		events, err := to.client.CacheEvents(ctx, to.server.Addr(), 0)
		is.NoErr(err)
		return len(events) == 1 && events[0].Prefix == 0xabc && events[0].Stored
	})
}
