package node

import (
	"log/slog"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// Deps are what a node reaches the outside with.
type Deps struct {
	Platform platform.Platform
	Engines  upstream.Engines
	Services upstream.Services
	Log      *slog.Logger
}
