// Package dev runs a whole example deployment in one process on loopback: a stand-in platform,
// stand-in upstreams and entry nodes. They communicate by the same protocols as separate processes.
package dev
