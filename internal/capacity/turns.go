package capacity

import (
	"strconv"
	"strings"
)

// turns let a caller tell the engine that it has had a piece; one channel a
// caller. An attempt's id is its caller's number, a dot and more.
type turns []chan struct{}

func newTurns(callers int) turns {
	t := make(turns, callers)
	for i := range t {
		t[i] = make(chan struct{}, 1)
	}
	return t
}

func (t turns) of(attempt string) chan struct{} {
	number, _, _ := strings.Cut(attempt, ".")
	i, err := strconv.Atoi(number)
	if err != nil || i >= len(t) {
		panic("capacity: attempt " + attempt + " names no caller")
	}
	return t[i]
}
