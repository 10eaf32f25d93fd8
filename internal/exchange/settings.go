package exchange

import "time"

// Settings configures a [Pool]. Zero values take the defaults in parentheses.
type Settings struct {
	// DialTimeout bounds the opening of a connection (500 ms: a hundred round trips
	// between failure domains; an upstream that takes longer is unreachable).
	DialTimeout time.Duration
	// SilentTimeout is how long sent bytes or keep-alive probes may stay unacknowledged
	// before the connection counts as broken (2 s).
	SilentTimeout time.Duration
	// MaxIdle is how long an idle connection is kept where the upstream states no
	// timeout (4 s).
	MaxIdle time.Duration
	// MaxIdlePerUpstream bounds the idle connections kept for one upstream (16).
	MaxIdlePerUpstream int
	// Dialer opens the connections; nil for one that connects from this host.
	Dialer Dialer
	// NoteAlive is called when an upstream has sent bytes on a direct connection; nil for
	// nothing.
	NoteAlive func(now time.Time)
}

const (
	defaultDialTimeout   = 500 * time.Millisecond
	defaultSilentTimeout = 2 * time.Second
	defaultMaxIdle       = 4 * time.Second
	defaultMaxIdleConns  = 16
	// silentAfter is how long an upstream may owe bytes on all connections until its link is
	// in doubt.
	silentAfter = 250 * time.Millisecond
	// maxSyncWriteBytes is the largest request that is written before its response is
	// read. A larger one is written concurrently, since an upstream may respond before
	// it has read a long body and then block the writer.
	maxSyncWriteBytes = 64 << 10
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// keepAliveMargin is subtracted from the idle timeout that an upstream states, so
	// that no request is in transit when the upstream closes the connection.
	keepAliveMargin = 300 * time.Millisecond
	// maxStrayResponses is how many responses to other requests are skipped before
	// the connection is closed.
	maxStrayResponses = 3
	// maxHeadBytes bounds the head of a response. It is some times what callers may send, and a
	// node has room for as many as it has connections.
	maxHeadBytes = 32 << 10
	// maxStrayBodyBytes bounds how much of the body of such a response is read.
	maxStrayBodyBytes = 1 << 20
)

// withDefaults returns the settings with defaults in place of zero values.
func (s Settings) withDefaults() Settings {
	if s.DialTimeout == 0 {
		s.DialTimeout = defaultDialTimeout
	}
	if s.SilentTimeout == 0 {
		s.SilentTimeout = defaultSilentTimeout
	}
	if s.NoteAlive == nil {
		s.NoteAlive = func(time.Time) {}
	}
	if s.MaxIdle == 0 {
		s.MaxIdle = defaultMaxIdle
	}
	if s.MaxIdlePerUpstream == 0 {
		s.MaxIdlePerUpstream = defaultMaxIdleConns
	}
	return s
}
