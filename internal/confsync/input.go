package confsync

import (
	"context"

	"github.com/rotisserie/eris"
)

// input is an event for the core, with the data that the Syncer keeps for it.
type input struct {
	event Event
	// ask creates the event of a request; answers receives the decision that answers it.
	ask     func(Token) Event
	answers chan Decision
	// applied accompanies the event Applied.
	applied *applied
	// list accompanies the event ListRead.
	list *vmList
}

// post queues an event for the core, unless the Syncer is closed.
func (s *Syncer) post(in input) {
	select {
	case s.events <- in:
	case <-s.ctx.Done():
	}
}

// ask queues a request for the core and waits for the decision that answers it.
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
