package intake

import "time"

// Settings are the bounds of a [Listener].
type Settings struct {
	// Name names the listener in events and metrics.
	Name string
	// MaxConnections bounds the open connections; 0 for no bound.
	MaxConnections int
	// Account is the memory for heads; nil if the listener does not serve HTTP.
	Account *Account
	// HeadBytes returns the size of the longest head; nil for DefaultHeadBytes.
	HeadBytes func() int
	// HeadTimeout returns how long a client may take to send a head; nil for DefaultHeadTimeout.
	HeadTimeout func() time.Duration
	// Observer receives what the listener refuses; nil for nobody.
	Observer Observer
}

// Observer receives what listeners refuse. Its methods are called concurrently.
type Observer interface {
	// HeadRefused reports that a head was refused, with the reason.
	HeadRefused(listener, client, reason string)
	// ConnectionClosed reports that a connection was closed to keep to MaxConnections.
	ConnectionClosed(listener, client string)
}

const (
	// DefaultHeadBytes bounds a head if no limit is configured.
	DefaultHeadBytes = 64 << 10
	// DefaultHeadTimeout bounds the receipt of a head if no limit is configured.
	DefaultHeadTimeout = 10 * time.Second
)

// withDefaults returns the settings with defaults in place of zero values.
func (s Settings) withDefaults() Settings {
	if s.HeadBytes == nil {
		s.HeadBytes = func() int { return DefaultHeadBytes }
	}
	if s.HeadTimeout == nil {
		s.HeadTimeout = func() time.Duration { return DefaultHeadTimeout }
	}
	if s.Observer == nil {
		s.Observer = noObserver{}
	}
	return s
}

// noObserver drops what it gets.
type noObserver struct{}

func (noObserver) HeadRefused(string, string, string) {}
func (noObserver) ConnectionClosed(string, string)    {}
