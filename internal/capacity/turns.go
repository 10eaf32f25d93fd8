package capacity

import (
	"bytes"
	"strconv"
)

// turns let a caller tell the engine that it has had a piece; one channel a
// caller. A request's prompt ends in its caller's number.
type turns []chan struct{}

func newTurns(callers int) turns {
	t := make(turns, callers)
	for i := range t {
		t[i] = make(chan struct{}, 1)
	}
	return t
}

// callMark stands before the caller's number in a prompt, and a dot after it.
const callMark = "statement for call "

func (t turns) of(body []byte) <-chan struct{} {
	_, rest, _ := bytes.Cut(body, []byte(callMark))
	number, _, _ := bytes.Cut(rest, []byte("."))
	i, err := strconv.Atoi(string(number))
	if err != nil || i >= len(t) {
		panic("capacity: a prompt without its caller")
	}
	return t[i]
}
