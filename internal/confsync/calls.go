package confsync

import (
	"context"
	"log/slog"
	"time"

	"github.com/hickorybank/hickorybank/internal/archive"
	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/transfer"
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
	if reply.Large {
		reply.Update = s.takePieces(d)
	}
	s.post(input{event: WaitReplied{Token: d.Token, Reply: reply}})
}

const (
	// pieceTimeout bounds a piece's call: five times what 32 kB take over 10 Mbit/s
	// beside another transfer and callers that fill half of the link.
	pieceTimeout = time.Second
	// piecesTimeout bounds the pieces that are taken before the reply, with its
	// proof, goes on to the core: well within the bound of a proof. The next call
	// goes on where this one stopped.
	piecesTimeout = time.Second
	// busyPause is the time before a parent is asked again that serves others.
	busyPause = 50 * time.Millisecond
)

// takePieces takes a document that is too long for one reply from the peer that has
// it; nil if it has not all come yet.
//
// It guards against documents that never come because they are large: a reply had
// 250 ms, in which 300 kB do not pass over 10 Mbit/s, and each call began anew.
func (s *Syncer) takePieces(d Wait) *archive.Update {
	s.receiver.Begin(d.Args.Revision)
	if d.Args.Full {
		s.receiver.AskWhole()
	}
	for end := time.Now().Add(piecesTimeout); time.Now().Before(end); {
		var p transfer.Piece
		if err := s.call(pieceTimeout, d.Addr, "Piece", s.receiver.Ask(), &p); err != nil || p.To == 0 {
			return nil
		}
		if p.Busy {
			s.sleep(busyPause)
			continue
		}
		whole, err := s.receiver.Take(p)
		if err != nil || !whole {
			continue
		}
		// What all has come is said; without it the parent forgets by itself.
		_ = s.call(pieceTimeout, d.Addr, "Piece", s.receiver.Ask(), &p)
		u, err := s.receiver.Decode()
		if err != nil {
			s.receiver.AskWhole()
			return nil
		}
		return &u
	}
	return nil
}

func (s *Syncer) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-s.ctx.Done():
	case <-t.C:
	}
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
