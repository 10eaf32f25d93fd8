package balance

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// Balancer chooses upstreams. See the package for who may call it.
type Balancer struct {
	settings Settings
}

// New returns a balancer that knows no upstream yet.
func New(s Settings) *Balancer { return &Balancer{settings: s} }

// SetMembers takes the list of VMs as the platform gives it (entry VMs in it
// are passed over) and this node's place, and chooses the node's subset.
func (b *Balancer) SetMembers(vms []platform.VM, place Place, now time.Time) {}

// Pick chooses an upstream and counts the attempt as in flight there until
// Done. When it returns false, Pick.Shortage says why.
func (b *Balancer) Pick(r Request) (Pick, bool) {
	return Pick{Shortage: Shortage{Reason: NoneKnown, RetryAfter: time.Second}}, false
}

// FirstToken tells that the attempt's first piece came, after the given time.
// It is optional, and lets a slow upstream be seen before long answers end.
func (b *Balancer) FirstToken(t Token, after time.Duration, now time.Time) {}

// Done tells how an attempt ended.
func (b *Balancer) Done(t Token, r Result, now time.Time) { _, _ = t.slot, t.generation }

// Report takes the load that an upstream gave, asked for by NeedPoll or
// otherwise.
func (b *Balancer) Report(vmID string, r upstream.LoadReport, now time.Time) {}

// PollFailed tells that an upstream did not answer when asked for its load.
func (b *Balancer) PollFailed(vmID string, now time.Time) {}

// Leaving tells that an upstream takes no new work, by the list or its own
// word. It holds until the VM is listed as live again after it was not listed.
func (b *Balancer) Leaving(vmID string) {}

// NeedPoll returns the upstreams whose load is to be asked for now. Call it
// several times a second; it keeps to Settings.PollsPerSecond.
func (b *Balancer) NeedPoll(now time.Time) []platform.VM { return nil }

// Status describes the upstreams of the subset, for operators and metrics.
func (b *Balancer) Status(now time.Time) []HostStatus { return nil }
