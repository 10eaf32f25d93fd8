// Package gateway serves forwarded requests: a request's host and path select
// a route, its key an organisation, and one pipeline decides what runs it,
// where, and how often.
//
// The package knows no names of any platform: a [Dialect] reads and writes the
// headers, a [Source] follows the platform's table.
package gateway
