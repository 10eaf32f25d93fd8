// Package transfer sends an update of a document between nodes in pieces of bounded size.
//
// A call that carries a whole document has a fixed timeout, whatever the document's size.
// Over a slow link such a call times out, the received bytes are lost and the next attempt
// starts from zero. Here the receiver requests one piece at a time, each small enough for a
// fixed timeout, and resumes where it stopped, also at another sender. A sender limits its
// concurrent transfers to what its link can carry soon, and refers further receivers to the
// nodes that it has served. The time to reach all nodes therefore grows with the logarithm
// of their number.
//
// [Sender] and [Receiver] do no I/O and have no clock: callers pass in messages and times.
package transfer
