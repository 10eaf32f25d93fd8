package platform_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/platform/client"
	standin "github.com/hickorybank/hickorybank/internal/standin/platform"
	"github.com/hickorybank/hickorybank/internal/standin/platform/control"
)

// start runs a stand-in platform until the end of the test, with a client of it.
func start(t testing.TB, s standin.Settings) (*standin.Server, *client.Client) {
	t.Helper()
	if s.Listen == "" {
		s.Listen = "127.0.0.1:0"
	}
	server, err := standin.New(s, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	c := client.New("http://" + server.Addr())
	t.Cleanup(func() {
		c.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		if err := server.Close(ctx); err != nil {
			t.Error(err)
		}
	})
	return server, c
}

// startWithFaults is start with a fault port; it returns a client of each port.
func startWithFaults(t *testing.T, s standin.Settings) (*client.Client, *control.Client) {
	t.Helper()
	s.FaultListen = "127.0.0.1:0"
	server, c := start(t, s)
	ctl := control.New("http://" + server.FaultAddr())
	t.Cleanup(ctl.Close)
	return c, ctl
}

// waitUntil polls until the condition holds or the test ends.
func waitUntil(t *testing.T, holds func() bool) {
	for !holds() && t.Context().Err() == nil {
		time.Sleep(time.Millisecond)
	}
}

func put(key, value string) platform.Txn {
	return platform.Txn{Writes: []platform.Write{{Key: key, Value: []byte(value)}}}
}
