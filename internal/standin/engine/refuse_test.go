package engine_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/standin/engine"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// A leaving engine must decline new requests, report that it leaves, and finish running
// requests.
func TestLeavingEngineFinishesRunningRequests(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	r := newRig(t, engine.Settings{TokensPerAnswer: 3})
	r.faults(t, func(f *engine.Faults) { f.SlowFactor = 10_000 })
	st := r.start(t, attempt("a", "v1", "x"))
	r.faults(t, func(f *engine.Faults) { f.Leaving = true })
	_, err := r.client.Start(ctx, r.server.Addr(), attempt("b", "v1", "x"))
	is.Equal(reachOf(t, err), upstream.Declined)
	report, err := r.client.Load(ctx, r.server.Addr())
	is.NoErr(err)
	is.True(report.Leaving)
	is.Equal(report.Versions, []string{"v1"})
	r.faults(t, func(f *engine.Faults) { f.SlowFactor = 1 })
	_, err = readAll(st)
	is.NoErr(err)
	counts := r.server.Counts()
	is.Equal(counts.Declined, 1)
	is.Equal(counts.Started, 1)
}

func TestFullQueueDeclines(t *testing.T) {
	is := is.New(t)
	r := newRig(t, engine.Settings{TokenGap: longDuration})
	for i := range 17 { // 1 in the batch and 16 in the queue
		r.start(t, attempt(fmt.Sprint("a", i), "v1", "x"))
	}
	waitFor(t, "all but one wait", func() bool {
		l, err := r.client.Load(context.Background(), r.server.Addr())
		is.NoErr(err)
		return l.Running == 1 && l.Queued == 16
	})
	_, err := r.client.Start(context.Background(), r.server.Addr(), attempt("b", "v1", "x"))
	is.Equal(reachOf(t, err), upstream.Declined)
	is.Equal(r.server.Counts().Started, 1)
}

// A malformed attempt must not run, and its answer must say so.
func TestMalformedAttemptsAreDeclined(t *testing.T) {
	r := newRig(t, engine.Settings{})
	cases := map[string]upstream.Attempt{
		"no attempt":  attempt("", "v1", "x"),
		"no version":  attempt("a", "", "x"),
		"not loaded":  attempt("a", "v2", "x"),
		"no JSON":     {ID: "a", Body: []byte("{")},
		"no messages": {ID: "a", Body: []byte(`{"model":"v1"}`)},
	}
	for name, a := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := r.client.Start(context.Background(), r.server.Addr(), a)
			is.Equal(reachOf(t, err), upstream.Declined)
			is.Equal(errors.Is(err, upstream.ErrUnknownVersion), name == "not loaded")
			is.Equal(r.server.Counts().Started, 0)
		})
	}
}

func TestContentParts(t *testing.T) {
	is := is.New(t)
	r := newRig(t, engine.Settings{TokensPerAnswer: 4})
	body := `{"model":"v1","max_tokens":2,"messages":[{"role":"user","content":[{"type":"text","text":"hel"},{"type":"text","text":"lo"}]},{"role":"assistant","content":"x"}]}`
	chunks, err := readAll(r.start(t, upstream.Attempt{ID: "a", Body: []byte(body)}))
	is.NoErr(err)
	is.Equal(len(chunks), 2)
	is.Equal(chunks[0].Text, engine.FirstText("v1", engine.Digest("hello"), "a"))
	is.Equal(chunks[1].FinishReason, "length")
	is.Equal(chunks[1].Usage.OutputTokens, 2)
}

func TestSettingsValidate(t *testing.T) {
	is := is.New(t)
	good := engine.Settings{Listen: "127.0.0.1:0", BatchLimit: 1, TokensPerAnswer: 1}
	is.NoErr(good.Validate())
	for _, bad := range []func(*engine.Settings){
		func(s *engine.Settings) { s.Listen = "" },
		func(s *engine.Settings) { s.BatchLimit = 0 },
		func(s *engine.Settings) { s.TokensPerAnswer = 0 },
		func(s *engine.Settings) { s.LoadLag = -1 },
		func(s *engine.Settings) { s.PrefixCacheEntries = -1 },
	} {
		s := good
		bad(&s)
		is.True(s.Validate() != nil)
	}
}
