package wire

import "github.com/hickorybank/hickorybank/internal/platform"

// Failure is the error of a call that ended without a usable response.
type Failure struct {
	// Kind is [platform.ErrRefused] if the call had no effect, otherwise
	// [platform.ErrUnknown].
	Kind error
	// Cause is the underlying error, for example that of a context.
	Cause error
}

// Refused returns the Failure of a call that had no effect.
func Refused(cause error) *Failure {
	return &Failure{Kind: platform.ErrRefused, Cause: cause}
}

// Unknown returns the Failure of a call that may have taken effect.
func Unknown(cause error) *Failure {
	return &Failure{Kind: platform.ErrUnknown, Cause: cause}
}

// Error returns the kind and the cause.
func (f *Failure) Error() string {
	return f.Kind.Error() + ": " + f.Cause.Error()
}

// Unwrap returns the kind and the cause, so that errors.Is finds both.
func (f *Failure) Unwrap() []error { return []error{f.Kind, f.Cause} }
