// Package api implements the HTTP interface for callers: a chat completion API that is
// compatible with OpenAI's, calls of plain services, and the list of entry addresses. It
// validates every request before it passes it to the router.
package api
