// Package session keeps a session on its version without any stored state:
// the caller carries a signed token that names the version. It survives the
// loss of every VM, since any node that has the key can read it.
//
// The ways weighed are in docs/design/sessions.md.
package session
