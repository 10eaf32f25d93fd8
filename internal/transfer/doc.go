// Package transfer carries an update of a document between nodes, in pieces.
//
// A document that is sent in one call has a time limit that knows nothing of its
// size: over a narrow link it is cut, all that has come is lost, and the next try
// begins anew. Here the asker takes one piece after the other, each small enough for
// a fixed limit; it goes on where it stopped, also at another node; and a sender
// serves no more askers at a time than its link carries soon. Those that it has
// served serve the others, so that the time to reach all nodes grows with the
// logarithm of their number.
//
// [Sender] and [Receiver] are cores without I/O: questions, answers and times go in.
package transfer
