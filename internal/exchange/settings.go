package exchange

import "time"

// Settings of a [Pool]. Zero values take the defaults named here.
type Settings struct {
	// DialTimeout bounds the opening of a connection (500 ms: a hundred round
	// trips between failure domains; an upstream that takes longer is dark).
	DialTimeout time.Duration
	// SilentTimeout is how long sent bytes may stay unacknowledged, and an
	// open connection silent to probes, before it counts as broken (2 s).
	SilentTimeout time.Duration
	// MaxIdle is how long an unused connection is kept where the upstream does
	// not say (4 s).
	MaxIdle time.Duration
	// MaxIdlePerUpstream bounds the unused connections kept (16).
	MaxIdlePerUpstream int
}

const (
	defaultDialTimeout   = 500 * time.Millisecond
	defaultSilentTimeout = 2 * time.Second
	defaultMaxIdle       = 4 * time.Second
	defaultMaxIdleConns  = 16
	// probeInterval is the gap between probes of a silent connection.
	probeInterval = time.Second
	// oneWrite is the largest request that is written before its answer is
	// read; a larger one is written beside the reading, since an upstream may
	// answer before it has taken a long body and then block the writer.
	oneWrite = 64 << 10
	// readBuffer is the buffer of a connection.
	readBuffer = 4 << 10
	// keepAliveMargin is taken off the idle time that an upstream states, for
	// what is on its way when the upstream closes.
	keepAliveMargin = 300 * time.Millisecond
	// strayAnswers is how many answers to other requests are read over before
	// the connection is given up.
	strayAnswers = 3
	// strayBytes bounds the body of such an answer.
	strayBytes = 1 << 20
)

func (s Settings) withDefaults() Settings {
	if s.DialTimeout == 0 {
		s.DialTimeout = defaultDialTimeout
	}
	if s.SilentTimeout == 0 {
		s.SilentTimeout = defaultSilentTimeout
	}
	if s.MaxIdle == 0 {
		s.MaxIdle = defaultMaxIdle
	}
	if s.MaxIdlePerUpstream == 0 {
		s.MaxIdlePerUpstream = defaultMaxIdleConns
	}
	return s
}
