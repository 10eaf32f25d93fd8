package relay

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// race is one connection to an upstream, on the direct way and through a peer.
type race struct {
	dialer *Dialer
	addr   string
	plan   plan
	// directBegan is when the direct connection was begun; zero if it was not.
	directBegan time.Time
	direct      chan directResult
	relay       chan relayResult
	// relayBegan is set once peers are asked.
	relayBegan bool
}

type directResult struct {
	conn net.Conn
	err  error
}

type relayResult struct {
	conn    *Conn
	outcome Outcome
}

// run returns the first connection. The other way ends in the background: it shows whether
// this node's link is lost.
func (r *race) run(ctx context.Context) (net.Conn, error) {
	relayCtx, cancelRelay := context.WithCancel(ctx)
	defer cancelRelay()
	if r.plan.direct {
		r.startDirect()
	}
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	if r.plan.relayFirst {
		r.startRelay(relayCtx)
	}
	failure := &Error{Addr: r.addr}
	directLeft, relayLeft := r.plan.direct, r.plan.relay
	for {
		if !directLeft && !relayLeft {
			return nil, r.fail(failure)
		}
		select {
		case <-ctx.Done():
			r.abandonDirect(directLeft)
			r.abandonRelay(relayLeft)
			return nil, ctx.Err()
		case <-hedge.C:
			r.startRelay(relayCtx)
		case res := <-r.direct:
			directLeft = false
			if res.err == nil {
				r.dialer.noteConnected(r.addr)
				r.abandonRelay(relayLeft)
				return res.conn, nil
			}
			failure.Direct = res.err
			r.dialer.paths.noteFailed(r.addr)
			r.startRelay(relayCtx)
		case res := <-r.relay:
			relayLeft = false
			r.dialer.observer.Asked(res.outcome)
			if res.conn != nil {
				r.concludeLost(res.conn.Peer, failure.Direct, directLeft)
				return res.conn, nil
			}
			failure.Peer = res.outcome
		}
	}
}

// startDirect opens the direct connection. It goes on if ctx ends, as its result shows the
// state of the link.
func (r *race) startDirect() {
	r.directBegan = time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
		defer cancel()
		c, err := r.dialer.direct.Dial(ctx, r.addr)
		r.direct <- directResult{c, err}
	}()
}

// startRelay asks peers for a connection, unless they have been asked or are not to be.
func (r *race) startRelay(ctx context.Context) {
	if r.relayBegan || !r.plan.relay {
		return
	}
	r.relayBegan = true
	go func() {
		c, outcome := r.dialer.client.connect(ctx, r.addr)
		r.relay <- relayResult{c, outcome}
	}()
}

// concludeLost records that a peer has reached the upstream while the direct connection has
// failed, or does so unless it is answered soon.
func (r *race) concludeLost(peer string, directErr error, pending bool) {
	switch {
	case pending:
		go r.awaitDirect(peer)
	case directErr != nil:
		r.dialer.noteLost(r.addr, peer, r.directBegan, isUnanswered(directErr))
	}
}

// awaitDirect waits for the direct connection after a peer has reached the upstream.
func (r *race) awaitDirect(peer string) {
	timer := time.NewTimer(unansweredAfter)
	defer timer.Stop()
	var res directResult
	select {
	case res = <-r.direct:
	case <-timer.C:
		r.dialer.noteLost(r.addr, peer, r.directBegan, true)
		res = <-r.direct
	}
	if res.err != nil {
		r.dialer.paths.noteFailed(r.addr)
		r.dialer.noteLost(r.addr, peer, r.directBegan, isUnanswered(res.err))
		return
	}
	r.dialer.noteConnected(r.addr)
	r.dialer.observer.Opened(r.addr, res.conn)
}

// abandonDirect takes the direct connection, if it still opens, after the caller has gone.
func (r *race) abandonDirect(left bool) {
	if !left {
		return
	}
	go func() {
		if res := <-r.direct; res.err == nil {
			r.dialer.noteConnected(r.addr)
			r.dialer.observer.Opened(r.addr, res.conn)
		}
	}()
}

// abandonRelay closes the connection through a peer, if one still opens.
func (r *race) abandonRelay(left bool) {
	if !left || !r.relayBegan {
		return
	}
	go func() {
		if res := <-r.relay; res.conn != nil {
			_ = res.conn.Close() // it is not needed any more
		}
	}()
}

// fail returns the error of a connection that failed on both ways.
func (r *race) fail(e *Error) error {
	if e.Peer.isVerdict() {
		r.dialer.paths.noteDown(r.addr, time.Now())
		return e
	}
	if e.Direct != nil && isUnanswered(e.Direct) {
		r.dialer.noteLost(r.addr, "", r.directBegan, true)
	}
	r.dialer.paths.noteUnhelped(r.addr, time.Now())
	e.linkLost = r.dialer.paths.isLost(r.addr, time.Now())
	return e
}

// isUnanswered reports whether a connection failed without an answer, as opposed to a
// refusal.
func isUnanswered(err error) bool {
	var timeout net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, syscall.EHOSTUNREACH)
}
