package node

import (
	"log/slog"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// Deps are a node's connections to the outside. All fields are required.
type Deps struct {
	Platform platform.Platform
	Engines  upstream.Engines
	Services upstream.Services
	Log      *slog.Logger
}
