package confsync

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/transfer"
)

import "github.com/hickorybank/hickorybank/internal/archive"

// ServiceName is the name of the net/rpc service under which peers call a [Syncer].
const ServiceName = "Config"

// service is the receiver of the net/rpc methods that peers call.
type service struct {
	syncer *Syncer
}

// Wait serves a peer that pulls from this node; the call may be held.
func (s *service) Wait(args WaitArgs, reply *WaitReply) error {
	ask := func(t Token) Event { return WaitRequested{Token: t, Args: args} }
	answer, err := s.syncer.ask(s.syncer.ctx, ask)
	if err != nil {
		return err
	}
	filled := answer.(waitAnswer)
	*reply = filled.Reply
	reply.Update = filled.update()
	if reply.Update != nil && reply.Update.Bytes() > transfer.PieceSize {
		s.syncer.sender.Set(filled.doc)
		reply.Update, reply.Large = nil, true
	}
	if filled.SendList && filled.list.Tag() == reply.ListDigest {
		reply.List = filled.list.Update(filled.KnownList, false)
	}
	return nil
}

// Piece serves a peer that fetches a document in pieces.
func (s *service) Piece(args transfer.Ask, reply *transfer.Piece) error {
	*reply = s.syncer.sender.Answer(args, time.Now())
	return s.syncer.ctx.Err()
}

// update returns the update that the peer lacks, or nil. The archive may be newer than the
// answer's proofs, never older.
func (f waitAnswer) update() *archive.Update {
	if f.doc == nil || f.doc.Tag() <= f.Known {
		return nil
	}
	return f.doc.Update(f.Known, f.Full)
}

// Survey serves a peer that requests the state of this node or of its failure domain.
func (s *service) Survey(args SurveyArgs, reply *SurveyReply) error {
	ask := func(t Token) Event { return SurveyRequested{Token: t, Args: args} }
	answer, err := s.syncer.ask(s.syncer.ctx, ask)
	if err != nil {
		return err
	}
	*reply = answer.(AnswerSurvey).Reply
	return nil
}

// NoticeReply acknowledges a [Notice].
type NoticeReply struct{}

// Notice receives the notice of a node that stops.
func (s *service) Notice(args Notice, _ *NoticeReply) error {
	s.syncer.post(input{event: NoticeReceived{Notice: args}})
	return s.syncer.ctx.Err()
}
