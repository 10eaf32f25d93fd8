package confsync

import "github.com/hickorybank/hickorybank/internal/archive"

// act carries out a decision. Nothing here waits: calls run in goroutines of
// their own, as many as the core lets be under way.
func (l *loop) act(d Decision) {
	s := l.syncer
	switch d := d.(type) {
	case ReadHead:
		s.duties.Go(func() { s.readHead(d) })
	case Fetch:
		known := l.doc
		s.duties.Go(func() { s.fetch(d, known) })
	case ReadList:
		known := l.listDigest()
		s.duties.Go(func() { s.readList(d, known) })
	case Apply:
		s.submit(job{token: d.Token, update: d.Update})
	case TakeList:
		l.takeListSent(d.List)
	case Wait:
		s.duties.Go(func() { s.wait(d) })
	case Survey:
		s.duties.Go(func() { s.survey(d) })
	case NoteLeaving:
		l.noteLeaving(d)
	default:
		l.answer(d)
	}
}

// answer hands an answer to the goroutine that asked.
func (l *loop) answer(d Decision) {
	switch d := d.(type) {
	case AnswerWait:
		l.reply(d.Token, l.filled(d))
	case AnswerSurvey:
		l.reply(d.Token, d)
	case AnswerConfirm:
		l.reply(d.Token, d)
	case Tell:
		l.reply(d.Token, d)
	}
}

func (l *loop) reply(t Token, d Decision) {
	answers, ok := l.asked[t]
	if !ok {
		return
	}
	delete(l.asked, t)
	answers <- d // has room for the one answer
}

// filled is the answer with what only the shell has: the archives as they are
// now. The goroutine that asked takes from them what the peer lacks.
func (l *loop) filled(d AnswerWait) Decision {
	return filledAnswer{AnswerWait: d, doc: l.doc, list: l.list}
}

type filledAnswer struct {
	AnswerWait
	doc  *archive.Archive
	list *archive.Archive
}

func (l *loop) noteLeaving(d NoteLeaving) {
	tell := l.syncer.deps.OnServing
	if d.Notice.Leaving {
		tell = l.syncer.deps.OnLeaving
	}
	if tell != nil {
		tell(d.Notice.ID)
	}
	l.syncer.MembersChanged()
}
