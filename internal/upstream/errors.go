package upstream

import "errors"

// Causes that an [Error] of a model engine may wrap.
var (
	// ErrUnknownVersion says that the engine has not loaded the version.
	ErrUnknownVersion = errors.New("engine has not loaded the version")
	// ErrUnknownStream says that the engine knows no stream of the attempt:
	// it never had it, has crashed since, or has forgotten it.
	ErrUnknownStream = errors.New("engine knows no stream of the attempt")
	// ErrStaleFence says that the engine refused an order because it has seen
	// a higher fencing number.
	ErrStaleFence = errors.New("engine has seen a higher fencing number")
	// ErrNotCached says that the engine's cache does not hold the prefix.
	ErrNotCached = errors.New("engine has not cached the prefix")
)
