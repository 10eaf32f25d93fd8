package confsync

import (
	"context"
	"log/slog"
	"time"

	"github.com/hickorybank/hickorybank/internal/archive"
	"github.com/hickorybank/hickorybank/internal/event"
)

// readHead reads the head row of the table.
func (s *Syncer) readHead(d ReadHead) {
	ctx, cancel := context.WithTimeout(s.ctx, s.settings.ReadTimeout)
	defer cancel()
	revision, err := s.deps.Store.Head(ctx)
	s.noteRead(err)
	if err != nil {
		s.post(input{event: ReadFailed(d)})
		return
	}
	s.post(input{event: HeadRead{Token: d.Token, Revision: revision}})
}

// noteRead logs the first failure of several in a row.
func (s *Syncer) noteRead(err error) {
	failing := err != nil && s.ctx.Err() == nil
	if failing && !s.failing.Load() {
		event.ConfigReadError.Log(s.deps.Log, slog.Any("error", err))
	}
	s.failing.Store(failing)
}

// fetch reads a document of the table: the deltas since the known one if they
// are stored, else the whole.
func (s *Syncer) fetch(d Fetch, known *archive.Archive) {
	ctx, cancel := context.WithTimeout(s.ctx, s.settings.ReadTimeout)
	defer cancel()
	if known != nil && !s.whole.Swap(false) {
		deltas, err := s.deps.Store.Deltas(ctx, known.Tag(), d.Revision)
		if err == nil && leadsTo(deltas, known.Tag(), d.Revision) {
			s.submit(job{token: d.Token, update: archive.Update{To: d.Revision, Deltas: deltas}})
			return
		}
	}
	stored, err := s.deps.Store.Document(ctx, d.Revision)
	if err != nil {
		s.post(input{event: ApplyFailed{Token: d.Token}})
		return
	}
	s.submit(job{token: d.Token, update: archive.Update{To: d.Revision}, stored: stored})
}

func leadsTo(deltas []archive.Delta, from, to uint64) bool {
	for _, d := range deltas {
		if d.From != from {
			return false
		}
		from = d.To
	}
	return len(deltas) > 0 && from == to
}

// submit hands a document to the goroutine that applies. There is room for as
// many as the core lets be under way.
func (s *Syncer) submit(j job) {
	select {
	case s.jobs <- j:
	case <-s.ctx.Done():
	}
}

// wait pulls from a peer.
func (s *Syncer) wait(d Wait) {
	timeout := s.settings.CallTimeout
	if d.Args.Hold {
		timeout += s.settings.MaxHold
	}
	var reply WaitReply
	if err := s.call(timeout, d.Addr, "Wait", d.Args, &reply); err != nil {
		s.post(input{event: WaitFailed{Token: d.Token}})
		return
	}
	s.post(input{event: WaitReplied{Token: d.Token, Reply: reply}})
}

// survey asks a peer for its state.
func (s *Syncer) survey(d Survey) {
	timeout := s.settings.CallTimeout
	if d.Args.Domain {
		timeout *= 2
	}
	var reply SurveyReply
	if err := s.call(timeout, d.Addr, "Survey", d.Args, &reply); err != nil {
		s.post(input{event: SurveyFailed{Token: d.Token}})
		return
	}
	s.post(input{event: SurveyReplied{Token: d.Token, Reply: reply}})
}

func (s *Syncer) call(timeout time.Duration, addr, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	return s.deps.Peers.Call(ctx, addr, ServiceName+"."+method, args, reply)
}
