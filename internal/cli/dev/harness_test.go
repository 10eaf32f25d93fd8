package dev

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = time.Minute

// startDeployment starts a small deployment that is closed when the test ends.
func startDeployment(t *testing.T, deployment string) *Deployment {
	t.Helper()
	is := is.New(t)
	d, err := New(Settings{
		Deployment: deployment, Listen: freePort, AdminListen: freePort, Entries: 2,
		FirstToken: time.Millisecond, TokenGap: time.Millisecond, Tokens: 5, AddressTTL: 100 * time.Millisecond, Seed: 1,
	}, slog.New(slog.NewTextHandler(t.Output(), nil)))
	is.NoErr(err)
	is.NoErr(d.Start())
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		is.NoErr(d.Close(ctx))
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	is.NoErr(d.AwaitReady(ctx))
	return d
}
