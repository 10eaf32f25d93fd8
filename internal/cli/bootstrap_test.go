package cli

import (
	"context"
	"log/slog"
	"strings"
	"testing"

	"github.com/matryer/is"

	standin "github.com/hickorybank/hickorybank/internal/standin/platform"
)

// A script that sets up a deployment runs twice. The second run must not overwrite the changes that
// operators have made since the first.
func TestBootstrapKeepsAnExistingConfiguration(t *testing.T) {
	is := is.New(t)
	server, err := standin.New(standin.Settings{Listen: "127.0.0.1:0"}, slog.New(slog.DiscardHandler))
	is.NoErr(err)
	is.NoErr(server.Start())
	defer func() { is.NoErr(server.Close(context.Background())) }()
	first := tempFile(t, "first.json", runCommand("config", "example", "--deployment", "sahel").out)
	args := []string{"admin", "bootstrap", first, "--platform", "http://" + server.Addr()}
	got := runCommand(args...)
	is.Equal(got.code, 0)
	is.Equal(got.out, "accepted revision 1\n")
	got = runCommand(args...)
	is.Equal(got.code, 1)
	is.True(strings.Contains(got.err, "a configuration is stored already, as revision 1; nothing was changed"))
}
