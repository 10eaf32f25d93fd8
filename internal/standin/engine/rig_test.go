package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/hickorybank/hickorybank/internal/standin/engine"
	"github.com/hickorybank/hickorybank/internal/standin/engine/host"
	"github.com/hickorybank/hickorybank/internal/upstream"
	"github.com/hickorybank/hickorybank/internal/upstream/client"
)

// waitTimeout bounds every wait of a test.
const waitTimeout = 30 * time.Second

// longDuration is longer than any test runs.
const longDuration = time.Hour

// rig is one engine with a client.
type rig struct {
	server *engine.Server
	client *client.Engines
}

func newRig(t testing.TB, s engine.Settings) *rig {
	t.Helper()
	s.ID = "u1"
	s.Listen = "127.0.0.1:0"
	s.FaultListen = "127.0.0.1:0"
	if s.Versions == nil {
		s.Versions = []string{"v1"}
	}
	s.BatchLimit = max(s.BatchLimit, 1)
	s.TokensPerAnswer = max(s.TokensPerAnswer, 1)
	server, err := engine.New(s, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	r := &rig{server: server, client: client.NewEngines(client.Options{})}
	t.Cleanup(r.close)
	return r
}

// close closes the engine and the client, and cuts open streams.
func (r *rig) close() {
	cut, cancel := context.WithCancel(context.Background())
	cancel()
	_ = r.server.Close(cut)
	r.client.Close()
}

func attempt(id, version, prompt string) upstream.Attempt {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":%q}]}`, version, prompt)
	return upstream.Attempt{ID: id, Version: version, Body: []byte(body)}
}

func (r *rig) start(t testing.TB, a upstream.Attempt) upstream.Stream {
	t.Helper()
	st, err := r.client.Start(context.Background(), r.server.Addr(), a)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = st.Close() })
	return st
}

// readAll returns the chunks up to the last one or an error, and closes the stream.
func readAll(st upstream.Stream) ([]upstream.Chunk, error) {
	defer func() { _ = st.Close() }()
	var chunks []upstream.Chunk
	for {
		c, err := st.Next()
		if err == io.EOF {
			return chunks, nil
		}
		if err != nil {
			return chunks, err
		}
		chunks = append(chunks, c)
	}
}

func (r *rig) faults(t testing.TB, change func(*engine.Faults)) {
	t.Helper()
	err := r.server.ChangeFaults(func(f *engine.Faults) error {
		change(f)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// waitFor polls until holds returns true. The test fails after waitTimeout.
func waitFor(t testing.TB, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal("timed out waiting for: " + condition)
}

func reachOf(t testing.TB, err error) upstream.Reach {
	t.Helper()
	var e *upstream.Error
	if !errors.As(err, &e) {
		t.Fatalf("error is no *upstream.Error: %v", err)
	}
	return e.Reach
}

// port returns a client of the engine's fault port.
func (r *rig) port(t testing.TB) host.FaultClient {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return host.FaultClient{Addr: r.server.FaultAddr(), HTTP: &http.Client{Transport: transport}}
}
