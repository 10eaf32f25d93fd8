package confsync

import (
	"context"

	"github.com/rotisserie/eris"
)

// input is an event on its way to the core with what the shell keeps for it.
type input struct {
	event Event
	// ask makes the event of a question; answers gets the decision that
	// answers it.
	ask     func(Token) Event
	answers chan Decision
	// applied comes with the event Applied.
	applied *applied
	// list comes with the event ListRead.
	list *vmList
}

// post hands an event to the core, unless the Syncer closes.
func (s *Syncer) post(in input) {
	select {
	case s.events <- in:
	case <-s.ctx.Done():
	}
}

// ask hands a question to the core and waits for its answer.
func (s *Syncer) ask(ctx context.Context, ask func(Token) Event) (Decision, error) {
	in := input{ask: ask, answers: make(chan Decision, 1)}
	s.post(in)
	select {
	case d := <-in.answers:
		return d, nil
	case <-ctx.Done():
		return nil, eris.Wrap(ctx.Err(), "ask configuration sync")
	case <-s.ctx.Done():
		return nil, ErrClosed
	}
}
