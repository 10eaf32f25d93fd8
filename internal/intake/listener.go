package intake

import (
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Listener accepts connections within the bounds of its settings.
type Listener struct {
	net.Listener
	settings Settings

	mu   sync.Mutex
	open map[*Conn]struct{}
}

// NewListener returns a listener with bounds on the connections of another one.
func NewListener(l net.Listener, s Settings) *Listener {
	return &Listener{Listener: l, settings: s.withDefaults(), open: map[*Conn]struct{}{}}
}

// BoundUnread bounds the bytes that are received on each connection of a listener and not yet read, by the
// receive buffer, which the connections inherit. Listeners that are not of the operating system are left as
// they are.
func BoundUnread(l net.Listener) {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return // the listener is closed
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, UnreadBytes) // the system's bound stays
	})
}

// Accept waits for a connection. Beyond MaxConnections, one that carries no complete request is closed
// for it; without any, the new one is closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: accepted, listener: l, progressAt: time.Now()}
		if l.admit(c) {
			return c, nil
		}
		l.settings.Observer.ConnectionClosed(l.settings.Name, accepted.RemoteAddr().String())
		_ = accepted.Close() // nothing has been read
	}
}

// admit adds a connection to the open ones.
func (l *Listener) admit(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.settings.MaxConnections
	for limit > 0 && len(l.open) >= limit {
		victim := l.victim(time.Now())
		if victim == nil || !victim.retire() {
			return false
		}
		delete(l.open, victim)
		l.settings.Observer.ConnectionClosed(l.settings.Name, victim.RemoteAddr().String())
	}
	l.open[c] = struct{}{}
	return true
}

// victim returns the connection to close for a new one: the one without progress for longest, stalled ones with a
// part of a request or none before idle ones. The caller holds mu.
func (l *Listener) victim(now time.Time) *Conn {
	oldest, oldestSince := map[usage]*Conn{}, map[usage]time.Time{}
	for c := range l.open {
		kind, since := c.usage()
		if oldest[kind] == nil || since.Before(oldestSince[kind]) {
			oldest[kind], oldestSince[kind] = c, since
		}
	}
	if oldest[unfinished] != nil && (oldest[idle] == nil || now.Sub(oldestSince[unfinished]) >= stalledAfter) {
		return oldest[unfinished]
	}
	return oldest[idle]
}

// remove removes a connection that is closed.
func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}
