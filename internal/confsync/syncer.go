package confsync

import (
	"context"
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/peer"
)

// ServiceName is the name under which peers call a Syncer.
const ServiceName = "Config"

// Syncer keeps this node's configuration in step with the platform's table.
type Syncer struct {
	settings Settings
	deps     Deps
}

// New returns a Syncer that is not yet started.
func New(s Settings, d Deps) *Syncer {
	return &Syncer{settings: s.WithDefaults(), deps: d}
}

// Start begins the duties.
func (s *Syncer) Start() error { return s.settings.Validate() }

// Close ends the duties and waits for them.
func (s *Syncer) Close(_ context.Context) error { return nil }

// Register offers the Syncer to peers; call it before the server starts.
func (s *Syncer) Register(_ *peer.Server) error { return nil }

// Snapshot returns the configuration applied here, or nil.
func (s *Syncer) Snapshot() *config.Snapshot { return nil }

// Current returns the configuration applied here and whether new work may be
// admitted under it, as one consistent pair. Ask again just before work is
// sent to an upstream: a request that waited in a queue may have outlived it.
func (s *Syncer) Current() (snapshot *config.Snapshot, fresh bool) { return nil, false }

// Fresh says whether new work may be admitted now.
func (s *Syncer) Fresh() bool { return false }

// FreshUntil returns until when new work may be admitted without a newer proof.
func (s *Syncer) FreshUntil() time.Time { return time.Time{} }

// Status returns this node's state.
func (s *Syncer) Status() Status { return Status{} }

// Confirmations asks which nodes have the revision.
func (s *Syncer) Confirmations(_ context.Context, revision uint64) (Confirmation, error) {
	return Confirmation{Revision: revision}, nil
}

// Poke reads the head at once, after a change was accepted here.
func (s *Syncer) Poke() {}

// AnnounceLeaving tells the peers that this node stops, so that they leave it
// out of the addresses they give. It returns how many failure domains could
// not be told before ctx ended.
func (s *Syncer) AnnounceLeaving(_ context.Context) (missed int) { return 0 }
