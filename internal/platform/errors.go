package platform

import "errors"

var (
	// ErrRefused means that the call had no effect: the platform refused it, the
	// connection failed, or the call only reads.
	ErrRefused = errors.New("platform refused the call")
	// ErrUnknown means that the response was lost and that the call may have taken
	// effect.
	ErrUnknown = errors.New("platform's answer was lost")
)
