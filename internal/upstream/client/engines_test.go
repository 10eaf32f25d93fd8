package client

import (
	"context"
	"log/slog"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/standin/engine"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// Each chunk must have the right number, attempt and text: the first chunk of the
// stand-in engine contains the version, the prompt's digest and the attempt.
func TestChunksOfStandInEngine(t *testing.T) {
	is := is.New(t)
	srv, err := engine.New(engine.Settings{
		Listen: "127.0.0.1:0", Versions: []string{"drafter@1"}, BatchLimit: 4, TokensPerAnswer: 3,
	}, slog.New(slog.DiscardHandler))
	is.NoErr(err)
	is.NoErr(srv.Start())
	defer func() { is.NoErr(srv.Close(context.Background())) }()
	c := NewEngines(Options{})
	defer c.Close()
	body := []byte(`{"model":"drafter@1","stream":true,"messages":[{"role":"user","content":"hello"}]}`)
	st, err := c.Start(context.Background(), srv.Addr(), upstream.Attempt{ID: "a1", Version: "drafter@1", Body: body})
	is.NoErr(err)
	defer func() { is.NoErr(st.Close()) }()
	for seq := 1; seq <= 3; seq++ {
		got, err := st.Next()
		is.NoErr(err)
		is.Equal(got.Seq, seq)
		is.Equal(got.Attempt, "a1")
		is.Equal(got.Done, seq == 3)
		if seq == 1 {
			is.Equal(got.Text, engine.FirstText("drafter@1", engine.Digest("hello"), "a1"))
		}
	}
}
