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

// unitsPerGrant is how many answers a node is granted at a time.
const unitsPerGrant = 1

// grants asks for exposure of staged versions, and hands it out when that is
// this node's duty.
type grants struct {
	deps Deps

	mu       sync.Mutex
	accounts map[string]*account
}

// account is one version's, used by one call at a time.
type account struct {
	mu sync.Mutex
	*exposure.Account
}

func newGrants(d Deps) *grants { return &grants{deps: d, accounts: map[string]*account{}} }

// ask asks for what the chooser wants. An answer that is lost loses what was
// granted, which is the safe side.
func (g *grants) ask(ctx context.Context, now time.Time) {
	for _, version := range g.deps.Chooser.Wants(now) {
		to := granter(version, g.deps.Self, g.deps.Members())
		if to.ID == g.deps.Self.ID {
			g.deps.Chooser.Grant(version, g.hand(version, now), now)
			continue
		}
		g.call(ctx, to.Peer, version)
	}
}

func (g *grants) call(ctx context.Context, addr, version string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var grant exposure.Grant
	if g.deps.Peers.Call(ctx, addr, methodGrant, &GrantRequest{Version: version}, &grant) == nil {
		g.deps.Chooser.Grant(version, grant, time.Now())
	}
}

// hand hands out exposure of a version. Any node may be asked: the row in the
// table bounds all of them together.
func (g *grants) hand(version string, now time.Time) exposure.Grant {
	v := g.staged(version)
	if v == nil {
		return exposure.Grant{}
	}
	a := g.account(version)
	a.mu.Lock()
	defer a.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if !g.read(ctx, a, version) {
		return exposure.Grant{}
	}
	if !a.Open() && g.deps.Chooser.ReadyToOpen(version, now) {
		g.openUp(ctx, a, version)
	}
	if a.Open() {
		return exposure.Grant{Open: true}
	}
	if units := a.Hand(unitsPerGrant); units > 0 {
		return exposure.Grant{Units: units}
	}
	g.take(ctx, a, v)
	return exposure.Grant{Units: a.Hand(unitsPerGrant)}
}

func (g *grants) staged(version string) *config.Version {
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

func (g *grants) read(ctx context.Context, a *account, version string) bool {
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

func (g *grants) take(ctx context.Context, a *account, v *config.Version) {
	txn, ok := a.Take(v.ExposureCap)
	if !ok {
		return
	}
	a.Committed(g.deps.Table.Commit(ctx, txn))
}

func (g *grants) openUp(ctx context.Context, a *account, version string) {
	a.Committed(g.deps.Table.Commit(ctx, a.OpenUp()))
	if a.Open() {
		event.ExposureOpened.Log(g.deps.Log, slog.String("version", version))
	}
}
