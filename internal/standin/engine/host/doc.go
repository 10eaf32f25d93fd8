// Package host is the HTTP server that the stand-in upstreams share. Its request port
// can refuse connections and reopen, and its requests can be frozen. It also serves
// the fault port and reads and writes JSON.
package host
