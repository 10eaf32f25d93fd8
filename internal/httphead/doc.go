// Package httphead checks the bytes of HTTP/1.1 responses against the grammar of RFC 9112 as they
// arrive: heads, interim responses, chunk lengths and trailers.
//
// net/http accepts more than the grammar. It drops lines whose field names it cannot read, so that a body
// may be read without the framing that its sender has stated.
package httphead
