package gateway

import (
	"context"
	"errors"
	"net"
	"time"
)

// errDark says that an upstream's machine does not answer at all.
var errDark = errors.New("upstream's machine does not answer")

// never is longer than any attempt.
const never = 24 * time.Hour

const (
	// darkAfter is how long an attempt may be silent before its upstream's
	// machine is looked for.
	darkAfter = 700 * time.Millisecond
	// darkProbe bounds one look: a hundred times the way between failure
	// domains. A lost packet spoils one; darkProbes in a row have to fail.
	darkProbe  = 250 * time.Millisecond
	darkProbes = 2
)

// watchdog ends an attempt whose upstream's machine has gone dark.
//
// A machine that lost power, or is cut off, closes no connection; the kernel's
// probes find it after about three seconds, in which a stream's caller waits
// in vain. A machine that refuses a connection is there: only silence counts.
type watchdog struct {
	addr   string
	dial   func(addr string, timeout time.Duration) error
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// watch starts a watchdog; Stop ends it.
func watch(addr string, dial func(string, time.Duration) error, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{addr: addr, dial: dial, cancel: cancel}
	w.timer = time.AfterFunc(never, w.look) // look needs the timer: it is set before it can fire
	w.timer.Reset(darkAfter)
	return w
}

// Heard notes that the upstream has sent something.
func (w *watchdog) Heard() { w.timer.Reset(darkAfter) }

// Stop ends the watch.
func (w *watchdog) Stop() { w.timer.Stop() }

func (w *watchdog) look() {
	for range darkProbes {
		if !isTimeout(w.dial(w.addr, darkProbe)) {
			w.timer.Reset(darkAfter)
			return
		}
	}
	w.cancel(errDark)
}

// dialOnce opens a connection and closes it.
func dialOnce(addr string, timeout time.Duration) error {
	c, err := net.DialTimeout("tcp4", addr, timeout)
	if err != nil {
		return err
	}
	return c.Close()
}
