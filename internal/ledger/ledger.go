package ledger

import (
	"context"

	"github.com/hickorybank/hickorybank/internal/peer"
)

// Ledger is a node's part of the ledger.
type Ledger struct {
	settings Settings
	deps     Deps
}

// New returns a ledger that is not yet started.
func New(s Settings, d Deps) *Ledger { return &Ledger{settings: s, deps: d} }

// Register offers the ledger's methods to peers, under the name "Ledger".
func (l *Ledger) Register(*peer.Server) error { return nil }

// Start begins the ledger's duties.
func (l *Ledger) Start() error { return nil }

// Close makes all bills in hand safe, then stops the duties. The context
// bounds how long it tries.
func (l *Ledger) Close(context.Context) error { return nil }

// Ready says whether the ledger could make a further bill safe; when not, new
// work should be refused as not run.
func (l *Ledger) Ready() bool { return false }

// Claim asks for the right to run. The error is [ErrNotClaimed] or
// [ErrClaimUnknown].
func (l *Ledger) Claim(context.Context, ClaimRequest) (ClaimResult, error) {
	return ClaimResult{}, ErrNotClaimed
}

// Settle ends a claim and makes its bill safe. The error is [ErrUnsafe].
func (l *Ledger) Settle(context.Context, Settlement) (Safety, error) { return 0, ErrUnsafe }

// Release gives a key back that was not run. The error is [ErrUnsafe].
func (l *Ledger) Release(context.Context, ReleaseRequest) error { return ErrUnsafe }

// Bill returns when the bill is safe. The error is [ErrUnsafe].
func (l *Ledger) Bill(context.Context, Bill) (Safety, error) { return 0, ErrUnsafe }

// Bills returns bills by the time of their keys.
func (l *Ledger) Bills(context.Context, BillQuery) (BillPage, error) { return BillPage{}, nil }

// Stats returns the present counts.
func (l *Ledger) Stats() Stats { return Stats{} }
