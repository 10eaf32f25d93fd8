package client

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/standin/engine"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// Fails if an attempt reaches its engine although the check before sending refuses it: its
// version was withdrawn while the connection was opened, or while the node was paused.
func TestRefusedAttemptIsNotSent(t *testing.T) {
	is := is.New(t)
	received := make(chan int, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		data, _ := io.ReadAll(conn)
		received <- len(data)
	}()
	c := NewEngines(Options{})
	defer c.Close()
	withdrawn := errors.New("withdrawn")
	_, err = c.Start(context.Background(), listener.Addr().String(), upstream.Attempt{
		ID: "a1", Version: "drafter@1", Body: make([]byte, 1<<20), MaySend: func() error { return withdrawn },
	})
	is.True(errors.Is(err, withdrawn))
	var failure *upstream.Error
	is.True(errors.As(err, &failure))
	is.Equal(<-received, 0)
	is.Equal(failure.Reach, upstream.NotSent)
}

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
