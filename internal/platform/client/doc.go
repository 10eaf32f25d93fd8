// Package client reaches the platform over HTTP.
//
// Its errors say exactly what may have taken effect. A call that could not
// connect, was refused, or only reads wraps platform.ErrRefused. A write whose
// bytes may have left, and whose answer did not come back whole, wraps
// platform.ErrUnknown. A refusal by the platform is found with errors.As as a
// *Refusal, which may say when to try again.
package client
