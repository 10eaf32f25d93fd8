// Package notice holds the state that upstreams announce in their responses: rate limits,
// back-off periods and shutdowns. It orders announcements of one incarnation that reach a
// node directly and through peers. It does no I/O.
package notice
