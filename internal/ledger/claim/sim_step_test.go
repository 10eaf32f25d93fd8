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
		s.sendAgain()
	case p < 34:
		s.end()
	case p < 38:
		s.giveUp()
	case p < 43:
		n.paused = !n.paused
	case p < 45:
		s.boot(n)
	case p < 53:
		s.land()
	case p == 53 && s.rng.IntN(4) == 0:
		s.deleted = true
		s.store.raise(s.name, s.name.Bucket+1)
	default:
		s.call(n)
	}
	for _, n := range s.nodes {
		s.ready(n)
	}
}

// arrive lets a caller send a request, or send it again with its key.
func (s *sim) arrive(owner *simNode) {
	k := fmt.Sprintf("key-%d", s.rng.IntN(simKeys))
	a := &simAttempt{
		id: key.NewID("org", k), attempt: key.AttemptID(fmt.Sprintf("attempt-%d", len(s.attempts))),
		print: request.NewFingerprint("org", []byte(k)), owner: owner, boot: owner.boot, phase: "asking",
	}
	if s.rng.IntN(10) == 0 {
		a.another = true
		a.print = request.NewFingerprint("org", []byte("another body"))
	}
	s.attempts = append(s.attempts, a)
	s.send(a, KindClaim)
}

func (s *sim) pick(phase string) *simAttempt {
	var fit []*simAttempt
	for _, a := range s.attempts {
		if a.phase == phase && a.boot == a.owner.boot && !a.owner.paused {
			fit = append(fit, a)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return fit[s.rng.IntN(len(fit))]
}

// sendAgain is what a node does that heard nothing: it asks another batcher.
func (s *sim) sendAgain() {
	if a := s.pick("asking"); a != nil {
		s.send(a, KindClaim)
	}
}

func (s *sim) end() {
	if a := s.pick("running"); a != nil {
		s.send(a, KindSettle)
	}
}

func (s *sim) giveUp() {
	if a := s.pick("asking"); a != nil {
		a.phase = "given-up"
		s.send(a, KindRelease)
	}
}

// send brings an operation to any node: the sender's idea of who batches the
// log may be any.
func (s *sim) send(a *simAttempt, kind Kind) {
	to := s.nodes[s.rng.IntN(len(s.nodes))]
	s.number++
	way := simWay{to.boot, a.attempt, kind}
	s.open[way]++
	s.waits[s.number] = &simWait{a, kind, way}
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

// call ends the call that a node has out, one way or another.
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
	if s.rng.IntN(5) == 0 { // something happens between the two reads
		s.between()
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

func (s *sim) between() {
	if s.rng.IntN(40) > 0 {
		s.land()
		return
	}
	s.deleted = true
	s.store.raise(s.name, s.name.Bucket+1)
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
		s.late = append(s.late, txn)
		n.log.WriteDone(s.now, lost)
	default:
		n.log.WriteDone(s.now, fate.Refused)
	}
}

// land lets a write take effect whose sender got no answer.
func (s *sim) land() {
	if len(s.late) == 0 {
		return
	}
	i := s.rng.IntN(len(s.late))
	s.store.commit(s.late[i])
	s.late = append(s.late[:i], s.late[i+1:]...)
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
		s.hear(&r.Replies[i])
	}
}
