package confsync

import "github.com/hickorybank/hickorybank/internal/archive"

// execute executes a decision without blocking: calls run in goroutines of their own, whose
// number the core bounds.
func (l *loop) execute(d Decision) {
	s := l.syncer
	switch d := d.(type) {
	case ReadHead:
		s.tasks.Go(func() { s.readHead(d) })
	case Fetch:
		known := l.doc
		s.tasks.Go(func() { s.fetch(d, known) })
	case ReadList:
		known := l.listDigest()
		s.tasks.Go(func() { s.readList(d, known) })
	case Apply:
		s.submit(job{token: d.Token, update: d.Update})
	case AcceptList:
		l.handlePeerList(d.List)
	case Wait:
		s.tasks.Go(func() { s.wait(d) })
	case Survey:
		s.tasks.Go(func() { s.survey(d) })
	case ReportNotice:
		l.reportNotice(d)
	default:
		l.answer(d)
	}
}

// answer passes an answer to the goroutine that waits for it.
func (l *loop) answer(d Decision) {
	switch d := d.(type) {
	case AnswerWait:
		l.reply(d.Token, l.withArchives(d))
	case AnswerSurvey:
		l.reply(d.Token, d)
	case AnswerConfirm:
		l.reply(d.Token, d)
	case SendNotice:
		l.reply(d.Token, d)
	}
}

// reply sends a decision to the goroutine that waits for it, if any.
func (l *loop) reply(t Token, d Decision) {
	answers, ok := l.waiting[t]
	if !ok {
		return
	}
	delete(l.waiting, t)
	answers <- d // buffered: never blocks
}

// withArchives adds the current archives to an answer. The goroutine that waits for the answer
// takes from them what the peer lacks.
func (l *loop) withArchives(d AnswerWait) Decision {
	return waitAnswer{AnswerWait: d, doc: l.doc, list: l.list}
}

type waitAnswer struct {
	AnswerWait
	doc  *archive.Archive
	list *archive.Archive
}

// reportNotice calls OnLeaving or OnServing.
func (l *loop) reportNotice(d ReportNotice) {
	callback := l.syncer.deps.OnServing
	if d.Notice.Leaving {
		callback = l.syncer.deps.OnLeaving
	}
	if callback != nil {
		callback(d.Notice.ID)
	}
	l.syncer.MembersChanged()
}
