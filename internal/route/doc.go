// Package route holds the configuration of forwarded requests: the service for each
// host and path, which requests may be retried, and which keys are accepted. A
// [Table] is immutable; each change of the configuration builds a new one.
package route
