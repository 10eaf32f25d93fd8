// Package seal signs small values that callers carry for us, so that any node
// can read them and none has to keep them. What is sealed is not secret.
package seal
