// Package client implements the interfaces of package platform over HTTP.
//
// Its errors tell whether a call may have taken effect. The error of a call that could
// not connect, was refused or only reads wraps platform.ErrRefused. The error of a write
// that may have been sent, and whose response is missing or incomplete, wraps
// platform.ErrUnknown. If the platform refused the call, errors.As finds a *Refusal,
// which may contain the time to wait before a retry.
package client
