// Package api is the callers' HTTP interface: the chat completion API in the
// OpenAI form, plain services, and the addresses to use. It checks everything
// that arrives before any of it reaches the router.
package api
