package share

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/choice/exposure"
	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/event"
)

// unitsPerGrant is the number of answers in one grant.
const unitsPerGrant = 1

// grants requests exposure of staged versions, and grants it to other nodes where this
// node is responsible.
type grants struct {
	deps Deps

	mu       sync.Mutex
	accounts map[string]*account
}

// account is the exposure account of one version; mu serialises its use.
type account struct {
	mu sync.Mutex
	*exposure.Account
}

func newGrants(d Deps) *grants { return &grants{deps: d, accounts: map[string]*account{}} }

// requestGrants requests a grant for each version that needs one. If the reply is
// lost, the units granted are lost with it, so the cap is never exceeded.
func (g *grants) requestGrants(ctx context.Context, now time.Time) {
	for _, version := range g.deps.Chooser.GrantsNeeded(now) {
		granter := granterOf(version, g.deps.Self, g.deps.Members())
		if granter.ID == g.deps.Self.ID {
			g.deps.Chooser.ApplyGrant(version, g.grant(version, now), now)
			continue
		}
		g.request(ctx, granter.Peer, version)
	}
}

func (g *grants) request(ctx context.Context, addr, version string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var grant exposure.Grant
	if g.deps.Peers.Call(ctx, addr, methodGrant, &GrantRequest{Version: version}, &grant) == nil {
		g.deps.Chooser.ApplyGrant(version, grant, time.Now())
	}
}

// grant grants exposure of a version. Any node may be asked, since the row in the table
// bounds the grants of all nodes together.
func (g *grants) grant(version string, now time.Time) exposure.Grant {
	v := g.stagedVersion(version)
	if v == nil {
		return exposure.Grant{}
	}
	a := g.account(version)
	a.mu.Lock()
	defer a.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if !g.ensureRow(ctx, a, version) {
		return exposure.Grant{}
	}
	if !a.Open() && g.deps.Chooser.CanLiftCap(version, now) {
		g.liftCap(ctx, a, version)
	}
	if a.Open() {
		return exposure.Grant{Open: true}
	}
	if units := a.HandOut(unitsPerGrant); units > 0 {
		return exposure.Grant{Units: units}
	}
	g.allocate(ctx, a, v)
	return exposure.Grant{Units: a.HandOut(unitsPerGrant)}
}

// stagedVersion returns the configuration of a version, or nil if it is not staged.
func (g *grants) stagedVersion(version string) *config.Version {
	s := g.deps.Snapshot()
	if s == nil {
		return nil
	}
	v := s.Version(version)
	if v == nil || v.State != config.Staged {
		return nil
	}
	return v
}

func (g *grants) account(version string) *account {
	g.mu.Lock()
	defer g.mu.Unlock()
	a, ok := g.accounts[version]
	if !ok {
		a = &account{Account: exposure.NewAccount(version)}
		g.accounts[version] = a
	}
	return a
}

// ensureRow reads the account's row if it is not known, and reports whether it is known
// then.
func (g *grants) ensureRow(ctx context.Context, a *account, version string) bool {
	if a.Known() {
		return true
	}
	row, err := g.deps.Table.Get(ctx, exposure.RowKey(version))
	if err != nil {
		return false
	}
	if err := a.Read(row); err != nil {
		event.ExposureRowBroken.Log(g.deps.Log, slog.String("version", version), slog.Any("error", err))
		return false
	}
	return true
}

// allocate allocates the next part of the cap in the table.
func (g *grants) allocate(ctx context.Context, a *account, v *config.Version) {
	txn, ok := a.Allocate(v.ExposureCap)
	if !ok {
		return
	}
	a.Committed(g.deps.Table.Commit(ctx, txn))
}

// liftCap lifts the version's cap in the table.
func (g *grants) liftCap(ctx context.Context, a *account, version string) {
	a.Committed(g.deps.Table.Commit(ctx, a.LiftCap()))
	if a.Open() {
		event.ExposureOpened.Log(g.deps.Log, slog.String("version", version))
	}
}
