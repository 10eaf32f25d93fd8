package bill_test

import (
	"fmt"
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/fate"
)

func (s *sim) step() {
	s.now = s.now.Add(time.Duration(s.rng.IntN(60)) * time.Millisecond)
	if s.impeded() {
		s.lastDisturbed = s.now
	}
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	switch p := s.rng.IntN(100); {
	case p < 14:
		s.send(s.newBill())
	case p < 20:
		s.resend()
	case p < 22:
		s.down[s.rng.IntN(2)] = s.rng.IntN(3) > 0
	case p < 25:
		n.paused = !n.paused
	case p < 28:
		s.crash(n)
	case p < 31:
		s.applyLateWrite()
	case p < 33:
		s.now = s.now.Add(time.Duration(s.rng.IntN(3000)) * time.Millisecond)
	default:
		for range 1 + s.rng.IntN(4) {
			s.call(s.nodes[s.rng.IntN(len(s.nodes))])
		}
	}
	for _, n := range s.nodes {
		s.ready(n)
	}
}

func (s *sim) newBill() bill.Bill {
	s.keys++
	return bill.Bill{Org: "org", Key: fmt.Sprintf("key-%d", s.keys), Cost: int64(s.keys), At: s.now.Truncate(time.Millisecond)}
}

// send adds a bill to a random collector, because senders may disagree about which node
// collects.
func (s *sim) send(b bill.Bill) {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	s.number++
	s.pending[s.number] = simRequest{n, n.boot, b}
	n.c.Add(s.number, b)
	if s.variant.earlyReply {
		s.safe[b.Key] = b
	}
}

// resend simulates a sender that got no answer in time and tries again.
func (s *sim) resend() {
	if s.number == 0 {
		return
	}
	if ask, ok := s.pending[1+s.rng.Uint64N(s.number)]; ok {
		s.send(ask.bill)
	}
}

// crash loses a VM with its memory and starts another in its place. With copies in two
// other failure domains, bills survive two losses before the copies are complete again.
func (s *sim) crash(n *simNode) {
	if s.now.Sub(s.lastDisturbed) > quiet {
		s.losses = 0
	}
	if s.losses == 2 {
		return
	}
	s.losses++
	s.lastDisturbed = s.now
	s.boot(n)
}

// impeded reports whether a node cannot keep copies complete: it is paused, or its calls
// to peers take longer than their time limit.
func (s *sim) impeded() bool {
	for _, n := range s.nodes {
		if n.paused {
			return true
		}
		for _, call := range n.calls {
			if call.kind == toPeers && s.now.Sub(call.sent) > refresh {
				return true
			}
		}
	}
	return false
}

// call ends a node's oldest call in flight with a random result.
func (s *sim) call(n *simNode) {
	if n.paused || len(n.calls) == 0 {
		return
	}
	call := n.calls[0]
	n.calls = n.calls[1:]
	if call.kind == toPeers {
		n.c.HoldDone(s.now, call.w, s.hold(n, call.w.Row))
		return
	}
	f := s.write(call)
	if call.kind == toTable {
		n.c.TableDone(s.now, call.w, f)
		return
	}
	n.c.ObjectDone(s.now, call.w, f)
}

func (s *sim) write(call simCall) fate.Fate {
	if s.down[call.kind] {
		return fate.Refused
	}
	if s.noWriteFaults {
		return s.store(call.w.Row)
	}
	switch p := s.rng.IntN(12); {
	case p < 9:
		return s.store(call.w.Row)
	case p < 10:
		s.store(call.w.Row)
		return fate.Unanswered
	case p < 11:
		s.lateWrites = append(s.lateWrites, call.w.Row)
		return fate.Unanswered
	default:
		return fate.Refused
	}
}

func (s *sim) store(row bill.Row) fate.Fate {
	if _, ok := s.stored[row.Key()]; ok {
		return fate.Conflict
	}
	s.stored[row.Key()] = row
	return fate.Applied
}

func (s *sim) applyLateWrite() {
	if len(s.lateWrites) > 0 {
		s.store(s.lateWrites[0])
		s.lateWrites = s.lateWrites[1:]
	}
}

// hold has other VMs hold a row and returns the ids of those whose reply arrives.
func (s *sim) hold(n *simNode, row bill.Row) []string {
	var holders []string
	for _, i := range s.rng.Perm(len(s.nodes)) {
		peer := s.nodes[i]
		if peer == n || peer.paused || len(holders) == 2 || s.rng.IntN(8) == 0 {
			continue
		}
		if peer.h.Hold(s.now, row) && s.rng.IntN(8) > 0 {
			holders = append(holders, peer.id)
		}
	}
	return holders
}

func (s *sim) ready(n *simNode) {
	if n.paused {
		return
	}
	for _, row := range n.h.TakeOrphans(s.now) {
		if !s.variant.noAdoption {
			n.c.Adopt(s.now, row)
		}
	}
	r := n.c.Ready(s.now)
	for _, w := range r.Table {
		n.calls = append(n.calls, simCall{toTable, w, s.now})
	}
	for _, w := range r.Objects {
		n.calls = append(n.calls, simCall{toObjects, w, s.now})
	}
	for _, w := range r.Hold {
		n.calls = append(n.calls, simCall{toPeers, w, s.now})
	}
	s.refreshAndDrop(n, r)
	for _, reply := range r.Replies {
		s.handleReply(reply)
	}
}

// refreshAndDrop refreshes and drops copies at the peers that can be reached.
func (s *sim) refreshAndDrop(n *simNode, r bill.CollectorReady) {
	for _, row := range r.Drop {
		for _, holder := range row.Holders {
			if peer := s.node(holder); !peer.paused {
				peer.h.Drop(row.Writer, []uint64{row.Seq})
			}
		}
	}
	for _, row := range r.Refresh {
		for _, holder := range row.Holders {
			peer := s.node(holder)
			missing := peer.paused || len(peer.h.Refresh(s.now, row.Writer, []uint64{row.Seq})) > 0
			if missing && !s.variant.ignoreLost {
				n.c.CopyLost(row)
			}
		}
	}
}

func (s *sim) node(id string) *simNode {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	panic("no such VM")
}

func (s *sim) handleReply(reply bill.Reply) {
	ask, ok := s.pending[reply.Number]
	delete(s.pending, reply.Number)
	s.replies[reply.Safety]++
	if ok && reply.Safety != bill.Unsafe && ask.boot == ask.node.boot {
		s.safe[ask.bill.Key] = ask.bill
	}
}

// finish ends all faults, lets all processes finish, and checks the bills.
func (s *sim) finish() {
	s.down = [2]bool{}
	s.noWriteFaults = true
	for range 300 {
		s.now = s.now.Add(100 * time.Millisecond)
		s.applyLateWrite()
		for _, n := range s.nodes {
			n.paused = false
			for len(n.calls) > 0 {
				s.call(n)
			}
			s.ready(n)
		}
	}
	s.check()
}

func (s *sim) check() {
	var all []bill.Bill
	for _, row := range s.stored {
		bills, err := row.Bills.Unpack()
		if err != nil {
			s.violation = err
			return
		}
		all = append(all, bills...)
	}
	count := map[string]int{}
	for _, b := range bill.Merge(all, 24*time.Hour) {
		count[b.Key]++
	}
	for k := range s.safe {
		if count[k] != 1 {
			s.violation = fmt.Errorf("bill %s was answered as safe and is there %d times", k, count[k])
			return
		}
	}
	for _, n := range s.nodes {
		if n.c.Waiting() > 0 {
			s.violation = fmt.Errorf("%d bills still wait after all faults had ended", n.c.Waiting())
		}
	}
}
