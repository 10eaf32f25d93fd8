package platform

import "errors"

var (
	// ErrRefused says that the call took no effect: the platform said so, or
	// could not be connected to.
	ErrRefused = errors.New("platform refused the call")
	// ErrUnknown says that the answer was lost: the call may have taken effect.
	ErrUnknown = errors.New("platform's answer was lost")
)
