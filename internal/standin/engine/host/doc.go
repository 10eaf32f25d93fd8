// Package host is what the stand-in upstreams share: a port that can refuse
// connections and come back, a process that can freeze, a fault port beside
// it, and the reading and writing of JSON.
package host
