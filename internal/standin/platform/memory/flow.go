package memory

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
)

// forever is the wait of a call that never gets an answer. It ends when the caller
// gives up.
const forever = time.Duration(math.MaxInt64)

// Causes of a call without an answer.
var (
	errDropped  = errors.New("connection broke before the call took effect")
	errAckLost  = errors.New("connection broke before the answer")
	errNoAnswer = errors.New("no answer came")
)

// read runs a read: it admits the call, waits for the fault's delay and calls inspect,
// which reads the state. Every error is a refusal.
func (p *Platform) read(ctx context.Context, s fault.Service, m *meter, inspect func(now time.Time)) error {
	if err := ctx.Err(); err != nil {
		return wire.Refused(err)
	}
	delay, err := p.beginRead(s, m)
	if err != nil {
		return err
	}
	if err := p.wait(ctx, delay); err != nil {
		return wire.Refused(err)
	}
	if p.endRead(s, inspect) == fault.Silent {
		return wire.Refused(p.waitUnanswered(ctx))
	}
	return nil
}

func (p *Platform) beginRead(s fault.Service, m *meter) (time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	verdict, err := p.admit(s, m, p.applyDueWrites())
	if err != nil {
		return 0, err
	}
	if verdict.Drop {
		return 0, wire.Refused(errDropped)
	}
	return verdict.Delay, nil
}

func (p *Platform) endRead(s fault.Service, inspect func(now time.Time)) fault.Ending {
	p.mu.Lock()
	defer p.mu.Unlock()
	inspect(p.applyDueWrites())
	return p.faults.EndRead(s)
}

// write runs a write: it admits the call, and calls effect after the fault's delay,
// even when the caller has given up by then. effect reports whether it changed the
// state.
func (p *Platform) write(ctx context.Context, s fault.Service, effect func() bool) error {
	if err := ctx.Err(); err != nil {
		return wire.Refused(err)
	}
	w, delay, err := p.beginWrite(s, effect)
	if err != nil {
		return err
	}
	if err := p.wait(ctx, delay); err != nil {
		return wire.Unknown(err)
	}
	switch p.endWrite(w) {
	case fault.Lost:
		return wire.Unknown(errAckLost)
	case fault.Silent:
		return wire.Unknown(p.waitUnanswered(ctx))
	}
	return nil
}

func (p *Platform) beginWrite(s fault.Service, effect func() bool) (*lateWrite, time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.applyDueWrites()
	verdict, err := p.admit(s, p.writes, now)
	if err != nil {
		return nil, 0, err
	}
	if verdict.Drop {
		return nil, 0, wire.Unknown(errDropped)
	}
	w := &lateWrite{service: s, due: now.Add(verdict.Delay), effect: effect}
	p.late.add(w)
	return w, verdict.Delay, nil
}

func (p *Platform) endWrite(w *lateWrite) fault.Ending {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyDueWrites()
	if !w.done {
		// A manually set clock may not have advanced during the wait.
		p.late.applyDue(w.due)
	}
	ending := p.faults.EndWrite(w.service, w.applied)
	if ending == fault.Lost {
		p.lostAcks++
	}
	return ending
}

// admit decides about a call on arrival. Faults come before the rate limit, so that
// calls to a service that is down do not use the allowance.
func (p *Platform) admit(s fault.Service, m *meter, now time.Time) (fault.Verdict, error) {
	verdict := p.faults.Begin(s)
	if verdict.Refuse {
		p.faulted++
		return verdict, unavailable(s)
	}
	if err := m.admit(now); err != nil {
		return verdict, err
	}
	if verdict.Drop {
		p.dropped++
	}
	return verdict, nil
}

func unavailable(s fault.Service) *wire.Refusal {
	return &wire.Refusal{Reason: wire.Unavailable, Detail: "service " + s.String() + " is not available"}
}

// applyDueWrites applies the writes that are due, and returns the current time.
func (p *Platform) applyDueWrites() time.Time {
	now := p.settings.Now()
	p.late.applyDue(now)
	return now
}

func (p *Platform) wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	return p.settings.Wait(ctx, d)
}

// waitUnanswered waits until the caller gives up, and returns the reason.
func (p *Platform) waitUnanswered(ctx context.Context) error {
	if err := p.settings.Wait(ctx, forever); err != nil {
		return err
	}
	return errNoAnswer
}
