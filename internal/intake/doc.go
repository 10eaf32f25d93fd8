// Package intake bounds what the connections and the unfinished requests of clients take of a process:
// memory and descriptors.
//
// A head is counted as its bytes arrive, before net/http parses it: its parsed form takes many times the
// memory of its bytes. Memory is reserved in an [Account] that all requests of the process share. If that
// is full, a stalled request is evicted for one that goes on, so that clients that never finish do not keep
// others out.
package intake
