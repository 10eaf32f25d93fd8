// Package service is a small stand-in for a plain service: billing, licence
// records. It counts every execution by path and Idempotency-Key, and never
// deduplicates, so that a test sees a call that ran twice.
package service
