package claim

import (
	"fmt"
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/request"
)

// handleReply does what a node does on a reply, and checks the invariants.
func (s *sim) handleReply(reply *Reply) {
	w := s.waits[reply.Number]
	delete(s.waits, reply.Number)
	a := w.attempt
	alive := a.boot == a.owner.boot
	switch {
	case reply.Verdict == VerdictRefused:
		s.unrefused[w.delivery]--
	case reply.Verdict == VerdictSettled:
		s.checkAnswer(a.id, reply)
		if a.phase == "asking" {
			a.phase = "ended"
		}
	case w.kind == KindClaim && reply.Verdict == VerdictGranted && alive && a.phase == "asking":
		s.start(a)
	case w.kind == KindSettle && reply.Verdict == VerdictDone:
		a.acked = true
		a.phase = "ended"
	case w.kind == KindSettle && reply.Verdict == VerdictRejected:
		s.fail("the settlement of attempt %s, which ran, was rejected", a.attempt.Attempt())
	}
}

// start runs the work, and checks that the key never ran before.
func (s *sim) start(a *simAttempt) {
	if other := s.ran[a.id]; other != nil {
		s.fail("key ran twice: attempts %s and %s", other.attempt.Attempt(), a.attempt.Attempt())
		return
	}
	s.ran[a.id] = a
	a.phase = "running"
}

// checkAnswer looks up the settled answer as the ledger does, and checks that it never
// changes.
func (s *sim) checkAnswer(id key.ID, reply *Reply) {
	if s.deleted {
		return // the row was deleted; the ledger returns that the key is too old
	}
	answer := ""
	for _, row := range s.store.rows(s.name, reply.Row) {
		for _, e := range row.Row.Entries {
			if row.Seq == reply.Row && e.Kind == KindSettle && e.ID == id {
				answer = string(e.Answer)
			}
		}
	}
	if first, ok := s.firstAnswers[id]; ok && first != answer {
		s.fail("settled answer changed from %q to %q", first, answer)
	}
	if a := s.ran[id]; a == nil || answer != "answer of "+a.attempt.Attempt() {
		s.fail("settled answer %q is not that of the run", answer)
	}
	s.firstAnswers[id] = answer
}

// finish ends all faults, lets all processes finish, and claims every key once more
// through a new process. Earlier replies must still be valid then.
func (s *sim) finish() {
	for len(s.lateWrites) > 0 && s.violation == nil {
		s.applyLateWrite()
	}
	s.checkRefused()
	asker := &simNode{}
	s.boot(asker)
	s.nodes = append(s.nodes, asker)
	asked := map[uint64]key.ID{}
	for i := range simKeys {
		k := fmt.Sprintf("key-%d", i)
		id := key.NewID("org", k)
		s.number++
		asked[s.number] = id
		op := Op{Number: s.number, Deadline: s.now.Add(time.Hour), Entry: Entry{
			Kind: KindClaim, ID: id, Attempt: key.AttemptID("last-" + k), Node: "last", Print: request.NewFingerprint("org", []byte(k)),
		}}
		asker.log.Add(s.now, op)
	}
	for range 200 {
		s.finishStep(asker, asked)
	}
	if len(asked) > 0 && s.violation == nil {
		s.fail("%d claims got no answer after all faults had ended", len(asked))
	}
}

func (s *sim) finishStep(asker *simNode, asked map[uint64]key.ID) {
	s.now = s.now.Add(100 * time.Millisecond)
	for _, n := range s.nodes {
		n.paused = false
		if n.read != nil {
			read := n.read
			n.read = nil
			n.log.RowsRead(s.store.floorFor(s.name, read), s.store.rows(s.name, read.From), false)
		} else if n.create != nil {
			txn := s.store.txn(s.name, n.create)
			n.create = nil
			n.log.WriteDone(s.now, s.store.commit(txn))
		}
		if n != asker {
			s.ready(n)
			continue
		}
		r := n.log.Ready(s.now)
		n.read, n.create = r.Read, r.Create
		for i := range r.Replies {
			s.checkFinalReply(asked[r.Replies[i].Number], &r.Replies[i])
			delete(asked, r.Replies[i].Number)
		}
	}
}

func (s *sim) checkFinalReply(id key.ID, reply *Reply) {
	a := s.ran[id]
	switch {
	case s.deleted && reply.Verdict != VerdictTooOld:
		s.fail("a key of a deleted log: %s", reply.Verdict)
	case s.deleted:
	case reply.Verdict == VerdictSettled:
		s.checkAnswer(id, reply)
	case reply.Verdict == VerdictReused && a != nil && a.otherBody:
	case a != nil && a.acked:
		s.fail("an acknowledged settlement is lost: %s", reply.Verdict)
	case a != nil && reply.Verdict == VerdictGranted:
		s.fail("a key that ran was granted again")
	case reply.Verdict == VerdictRefused || reply.Verdict == VerdictInDoubt:
		s.fail("no answer after all faults had ended: %s", reply.Verdict)
	}
}

// checkRefused fails if an entry is in the log although its writer refused it.
func (s *sim) checkRefused() {
	for _, row := range s.store.rows(s.name, 0) {
		for _, e := range row.Row.Entries {
			if s.unrefused[simDelivery{row.Row.Writer, e.Attempt, e.Kind}] == 0 {
				s.fail("row %d holds an entry that its writer refused", row.Seq)
			}
		}
	}
}
