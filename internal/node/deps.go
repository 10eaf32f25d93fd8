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
	// Links is the dialer of Engines and Services, if they reach upstreams through peers as well;
	// nil if not.
	Links *Links
	Log   *slog.Logger
}
