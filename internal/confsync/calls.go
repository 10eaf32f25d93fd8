package confsync

import (
	"context"
	"log/slog"
	"time"

	"github.com/hickorybank/hickorybank/internal/archive"
	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/transfer"
)

// readHead reads the head row of the table and posts the result.
func (s *Syncer) readHead(d ReadHead) {
	ctx, cancel := context.WithTimeout(s.ctx, s.settings.ReadTimeout)
	defer cancel()
	revision, err := s.deps.Store.Head(ctx)
	s.logReadError(err)
	if err != nil {
		s.post(input{event: ReadFailed(d)})
		return
	}
	s.post(input{event: HeadRead{Token: d.Token, Revision: revision}})
}

// logReadError logs the first of several failed reads in a row.
func (s *Syncer) logReadError(err error) {
	failing := err != nil && s.ctx.Err() == nil
	if failing && !s.readFailing.Load() {
		event.ConfigReadError.Log(s.deps.Log, slog.Any("error", err))
	}
	s.readFailing.Store(failing)
}

// fetch reads a document from the table: the deltas since the known document if they are
// stored, otherwise the full document.
func (s *Syncer) fetch(d Fetch, known *archive.Archive) {
	ctx, cancel := context.WithTimeout(s.ctx, s.settings.ReadTimeout)
	defer cancel()
	if known != nil && !s.fetchFull.Swap(false) {
		deltas, err := s.deps.Store.Deltas(ctx, known.Tag(), d.Revision)
		if err == nil && isChain(deltas, known.Tag(), d.Revision) {
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

// isChain reports whether deltas lead from one revision to another without a gap.
func isChain(deltas []archive.Delta, from, to uint64) bool {
	for _, d := range deltas {
		if d.From != from {
			return false
		}
		from = d.To
	}
	return len(deltas) > 0 && from == to
}

// submit queues a document for applyJobs. The queue has room for as many as the core has in
// flight.
func (s *Syncer) submit(j job) {
	select {
	case s.jobs <- j:
	case <-s.ctx.Done():
	}
}

// wait pulls from a peer and posts the result.
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
		reply.Update = s.fetchPieces(d)
	}
	s.post(input{event: WaitReplied{Token: d.Token, Reply: reply}})
}

const (
	// pieceTimeout bounds the call for one piece. It is five times the duration of 32 kB
	// over 10 Mbit/s beside another transfer and callers that use half of the link.
	pieceTimeout = time.Second
	// piecesTimeout bounds the fetching of pieces before the reply, with its proof, is
	// passed to the core. It is well within the bound of a proof. The next call resumes
	// where this one stopped.
	piecesTimeout = time.Second
	// busyRetryDelay is the delay before a request is repeated to a parent that was busy.
	busyRetryDelay = 50 * time.Millisecond
)

// fetchPieces fetches a document that is too large for one reply in pieces from a peer. It
// returns nil if the document is not complete yet.
//
// Without pieces a large document never arrives: a reply has 250 ms, in which 300 kB do not
// pass over 10 Mbit/s, and each call starts from zero.
func (s *Syncer) fetchPieces(d Wait) *archive.Update {
	s.receiver.Begin(d.Args.Revision)
	if d.Args.Full {
		s.receiver.RequestFull()
	}
	for deadline := time.Now().Add(piecesTimeout); time.Now().Before(deadline); {
		var p transfer.Piece
		if err := s.call(pieceTimeout, d.Addr, "Piece", s.receiver.NextRequest(), &p); err != nil || p.To == 0 {
			return nil
		}
		if p.Busy {
			s.sleep(busyRetryDelay)
			continue
		}
		complete, err := s.receiver.Take(p)
		if err != nil || !complete {
			continue
		}
		// Acknowledge completion; without it the parent's transfer expires.
		_ = s.call(pieceTimeout, d.Addr, "Piece", s.receiver.NextRequest(), &p)
		u, err := s.receiver.Decode()
		if err != nil {
			s.receiver.RequestFull()
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

// survey requests the state of a peer, or of its failure domain, and posts the result.
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
