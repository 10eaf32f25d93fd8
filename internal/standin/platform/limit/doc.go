// Package limit holds the stand-in platform's rate limits and rate figures:
// plain structures that are given the time.
package limit
