// Package service is a small stand-in for a plain HTTP service, such as billing or
// licence records. It counts executions by method, path and Idempotency-Key and does not
// deduplicate, so that tests can detect a call that ran twice.
package service
