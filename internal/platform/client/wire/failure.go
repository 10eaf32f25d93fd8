package wire

import "github.com/hickorybank/hickorybank/internal/platform"

// Failure is a call that ended without an answer. Kind is
// [platform.ErrRefused] when the call can have had no effect, else
// [platform.ErrUnknown]; Cause is what broke it, for example a context's error.
type Failure struct {
	Kind  error
	Cause error
}

// Refused returns a Failure that had no effect.
func Refused(cause error) *Failure {
	return &Failure{Kind: platform.ErrRefused, Cause: cause}
}

// Unknown returns a Failure that may have had an effect.
func Unknown(cause error) *Failure {
	return &Failure{Kind: platform.ErrUnknown, Cause: cause}
}

// Error implements error.
func (f *Failure) Error() string {
	return f.Kind.Error() + ": " + f.Cause.Error()
}

// Unwrap makes errors.Is find both the kind and the cause.
func (f *Failure) Unwrap() []error { return []error{f.Kind, f.Cause} }
