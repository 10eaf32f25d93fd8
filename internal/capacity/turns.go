package capacity

import (
	"bytes"
	"strconv"
)

// pieceAcks tells the engine that a caller has received a piece, over one channel for each
// caller. A request's prompt ends in the number of its caller.
type pieceAcks []chan struct{}

func newPieceAcks(callers int) pieceAcks {
	t := make(pieceAcks, callers)
	for i := range t {
		t[i] = make(chan struct{}, 1)
	}
	return t
}

// callerPrefix precedes the caller's number in a prompt; a dot follows the number.
const callerPrefix = "statement for call "

func (t pieceAcks) forRequest(body []byte) <-chan struct{} {
	_, rest, _ := bytes.Cut(body, []byte(callerPrefix))
	number, _, _ := bytes.Cut(rest, []byte("."))
	i, err := strconv.Atoi(string(number))
	if err != nil || i >= len(t) {
		panic("capacity: prompt contains no valid caller number")
	}
	return t[i]
}
