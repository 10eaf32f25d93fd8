package memory

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
)

// forever is how long a call without an answer waits for its caller to give up.
const forever = time.Duration(math.MaxInt64)

// What broke a call that got no answer.
var (
	errDropped  = errors.New("connection broke before the call took effect")
	errAckLost  = errors.New("connection broke before the answer")
	errNoAnswer = errors.New("no answer came")
)

// read admits a call that only reads, and looks at the state after the delay.
func (p *Platform) read(ctx context.Context, s fault.Service, m *meter, look func(now time.Time)) error {
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
	if p.endRead(s, look) == fault.Silent {
		return wire.Refused(p.silence(ctx))
	}
	return nil
}

func (p *Platform) beginRead(s fault.Service, m *meter) (time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	verdict, err := p.admit(s, m, p.settled())
	if err != nil {
		return 0, err
	}
	if verdict.Drop {
		return 0, wire.Refused(errDropped)
	}
	return verdict.Delay, nil
}

func (p *Platform) endRead(s fault.Service, look func(now time.Time)) fault.Ending {
	p.mu.Lock()
	defer p.mu.Unlock()
	look(p.settled())
	return p.faults.EndRead(s)
}

// write admits a call that takes effect after the delay, also when the caller
// has given up by then.
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
		return wire.Unknown(p.silence(ctx))
	}
	return nil
}

func (p *Platform) beginWrite(s fault.Service, effect func() bool) (*lateWrite, time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settled()
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
	p.settled()
	if !w.done {
		// A clock that is set by hand may not have moved while we waited.
		p.late.settle(w.due)
	}
	ending := p.faults.EndWrite(w.service, w.took)
	if ending == fault.Lost {
		p.lostAcks++
	}
	return ending
}

// admit asks the faults first: a service that is down uses up no allowance.
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

// settled lets the writes that have fallen due take effect; returns the time.
func (p *Platform) settled() time.Time {
	now := p.settings.Now()
	p.late.settle(now)
	return now
}

func (p *Platform) wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	return p.settings.Wait(ctx, d)
}

// silence waits until the caller gives up.
func (p *Platform) silence(ctx context.Context) error {
	if err := p.settings.Wait(ctx, forever); err != nil {
		return err
	}
	return errNoAnswer
}
