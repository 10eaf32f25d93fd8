package claim

import (
	"fmt"
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/fate"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/request"
)

func (s *sim) step() {
	s.now = s.now.Add(time.Duration(s.rng.IntN(20)) * time.Millisecond)
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	switch p := s.rng.IntN(100); {
	case p < 12:
		s.arrive(n)
	case p < 22:
		s.resend()
	case p < 34:
		s.settle()
	case p < 38:
		s.release()
	case p < 43:
		n.paused = !n.paused
	case p < 45:
		s.boot(n)
	case p < 53:
		s.applyLateWrite()
	case p == 53 && s.rng.IntN(4) == 0:
		s.deleted = true
		s.store.raiseFloor(s.name, s.name.Bucket+1)
	default:
		s.call(n)
	}
	for _, n := range s.nodes {
		s.ready(n)
	}
}

// arrive simulates a caller that sends a request, or repeats it with the same key.
func (s *sim) arrive(owner *simNode) {
	k := fmt.Sprintf("key-%d", s.rng.IntN(simKeys))
	a := &simAttempt{
		id: key.NewID("org", k), attempt: key.AttemptID(fmt.Sprintf("attempt-%d", len(s.attempts))),
		print: request.NewFingerprint("org", []byte(k)), owner: owner, boot: owner.boot, phase: "asking",
	}
	if s.rng.IntN(10) == 0 {
		a.otherBody = true
		a.print = request.NewFingerprint("org", []byte("another body"))
	}
	s.attempts = append(s.attempts, a)
	s.send(a, KindClaim)
}

func (s *sim) pick(phase string) *simAttempt {
	var candidates []*simAttempt
	for _, a := range s.attempts {
		if a.phase == phase && a.boot == a.owner.boot && !a.owner.paused {
			candidates = append(candidates, a)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[s.rng.IntN(len(candidates))]
}

// resend simulates a node that got no answer and tries another batcher.
func (s *sim) resend() {
	if a := s.pick("asking"); a != nil {
		s.send(a, KindClaim)
	}
}

func (s *sim) settle() {
	if a := s.pick("running"); a != nil {
		s.send(a, KindSettle)
	}
}

func (s *sim) release() {
	if a := s.pick("asking"); a != nil {
		a.phase = "given-up"
		s.send(a, KindRelease)
	}
}

// send adds an operation at a random node, because senders may disagree about which
// node batches the log.
func (s *sim) send(a *simAttempt, kind Kind) {
	to := s.nodes[s.rng.IntN(len(s.nodes))]
	s.number++
	delivery := simDelivery{to.boot, a.attempt, kind}
	s.unrefused[delivery]++
	s.waits[s.number] = &simWait{a, kind, delivery}
	e := Entry{Kind: kind, ID: a.id, Attempt: a.attempt}
	switch kind {
	case KindClaim:
		e.Print, e.Node = a.print, a.boot
	case KindSettle:
		e.Outcome, e.Answer = request.Completed, []byte("answer of "+a.attempt.Attempt())
	}
	wait := time.Duration(50+s.rng.IntN(500)) * time.Millisecond
	to.log.Add(s.now, Op{Number: s.number, Entry: e, Deadline: s.now.Add(wait)})
}

// call ends a node's call in flight with a random result.
func (s *sim) call(n *simNode) {
	if n.paused {
		return
	}
	if n.read != nil {
		s.endRead(n)
	} else if n.create != nil {
		s.endWrite(n)
	}
}

func (s *sim) endRead(n *simNode) {
	read := n.read
	n.read = nil
	if s.rng.IntN(10) == 0 {
		n.log.ReadFailed(s.now)
		return
	}
	floor := s.store.floorFor(s.name, read)
	rows := s.store.rows(s.name, read.From)
	if s.rng.IntN(5) == 0 { // an event between the reads of the floor and the rows
		s.eventBetweenReads()
		if s.rng.IntN(2) == 0 {
			floor = s.store.floorFor(s.name, read)
		} else {
			rows = s.store.rows(s.name, read.From)
		}
	}
	if cut := s.rng.IntN(3) + 1; len(rows) > cut {
		n.log.RowsRead(floor, rows[:cut], true)
		return
	}
	n.log.RowsRead(floor, rows, false)
}

func (s *sim) eventBetweenReads() {
	if s.rng.IntN(40) > 0 {
		s.applyLateWrite()
		return
	}
	s.deleted = true
	s.store.raiseFloor(s.name, s.name.Bucket+1)
}

func (s *sim) endWrite(n *simNode) {
	txn := s.store.txn(s.name, n.create)
	n.create = nil
	lost := fate.Unanswered
	if s.store.variant.lostIsRefused {
		lost = fate.Refused
	}
	switch p := s.rng.IntN(10); {
	case p < 6:
		n.log.WriteDone(s.now, s.store.commit(txn))
	case p < 7:
		s.store.commit(txn)
		n.log.WriteDone(s.now, lost)
	case p < 9:
		s.lateWrites = append(s.lateWrites, txn)
		n.log.WriteDone(s.now, lost)
	default:
		n.log.WriteDone(s.now, fate.Refused)
	}
}

// applyLateWrite lets a write take effect whose sender got no answer.
func (s *sim) applyLateWrite() {
	if len(s.lateWrites) == 0 {
		return
	}
	i := s.rng.IntN(len(s.lateWrites))
	s.store.commit(s.lateWrites[i])
	s.lateWrites = append(s.lateWrites[:i], s.lateWrites[i+1:]...)
}

func (s *sim) ready(n *simNode) {
	if n.paused {
		return
	}
	r := n.log.Ready(s.now)
	if r.Read != nil {
		n.read = r.Read
	}
	if r.Create != nil {
		n.create = r.Create
	}
	for i := range r.Replies {
		s.handleReply(&r.Replies[i])
	}
}
