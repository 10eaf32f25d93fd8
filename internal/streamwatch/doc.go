// Package streamwatch knows when upstreams last sent an event on this node's open streams. It does no
// I/O, and its cost follows the open streams, not the upstreams.
package streamwatch
