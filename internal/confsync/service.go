package confsync

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/transfer"
)

import "github.com/hickorybank/hickorybank/internal/archive"

// ServiceName is the name under which peers call a Syncer.
const ServiceName = "Config"

// service is what peers call, in net/rpc's form.
type service struct {
	syncer *Syncer
}

// Wait answers a peer that pulls from this node.
func (s *service) Wait(args WaitArgs, reply *WaitReply) error {
	ask := func(t Token) Event { return WaitAsked{Token: t, Args: args} }
	answer, err := s.syncer.ask(s.syncer.ctx, ask)
	if err != nil {
		return err
	}
	filled := answer.(filledAnswer)
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

// Piece answers a peer that takes a document piece by piece.
func (s *service) Piece(args transfer.Ask, reply *transfer.Piece) error {
	*reply = s.syncer.sender.Answer(args, time.Now())
	return s.syncer.ctx.Err()
}

// update is the document's update that the peer lacks. The archive may be
// ahead of the answer's proofs, never behind them.
func (f filledAnswer) update() *archive.Update {
	if f.doc == nil || f.doc.Tag() <= f.Known {
		return nil
	}
	return f.doc.Update(f.Known, f.Full)
}

// Survey answers a peer that asks for the state of this node or of its
// failure domain.
func (s *service) Survey(args SurveyArgs, reply *SurveyReply) error {
	ask := func(t Token) Event { return SurveyAsked{Token: t, Args: args} }
	answer, err := s.syncer.ask(s.syncer.ctx, ask)
	if err != nil {
		return err
	}
	*reply = answer.(AnswerSurvey).Reply
	return nil
}

// NoticeReply acknowledges a notice.
type NoticeReply struct{}

// Notice takes the word of a node that stops.
func (s *service) Notice(args Notice, _ *NoticeReply) error {
	s.syncer.post(input{event: NoticeHeard{Notice: args}})
	return s.syncer.ctx.Err()
}
