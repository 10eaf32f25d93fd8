// Package session pins a session to a model version without stored state: the caller carries
// a signed token that names the version. Sessions survive the loss of every VM, since any
// node that has the key can verify the token.
//
// docs/design/sessions.md compares the alternatives.
package session
