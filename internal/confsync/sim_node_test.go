package confsync

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/archive"
	"github.com/hickorybank/hickorybank/internal/platform"
)

const simTick = 50 * time.Millisecond

// simNode is a simulated node: a core with a driver that only passes messages.
type simNode struct {
	w      *world
	vm     platform.VM
	core   *Core
	boot   uint64
	dead   bool
	paused bool
	inbox  []Event
	// replies are the calls of peers that wait for a response.
	replies        map[Token]func(Event)
	tokens         Token
	confirm        map[Token]bool
	highestApplied uint64 // since the start of the process
	// admitted is set once the process has admitted work, refused once it had to refuse
	// work after that.
	admitted, refused bool

	list uint64 // state of the VM list that the core knows
}

// start starts a new process under the node's ID.
func (n *simNode) start() {
	n.boot++
	n.core = NewCore(n.w.settings, n.vm, n.boot, n.w.now)
	n.core.rules = n.w.rules
	n.dead, n.paused = false, false
	n.inbox = nil
	n.highestApplied, n.list = 0, 0
	n.admitted, n.refused = false, false
	n.replies = map[Token]func(Event){}
	n.confirm = map[Token]bool{}
	n.w.note("%s starts", n.vm.ID)
	n.tick(n.boot)
}

func (n *simNode) tick(boot uint64) {
	if n.dead || n.boot != boot {
		return
	}
	if !n.paused {
		n.step(Tick{})
		n.countRefusal()
	}
	n.w.after(simTick, func() { n.tick(boot) })
}

// countRefusal samples whether the node refuses work.
func (n *simNode) countRefusal() {
	if !n.admitted {
		return
	}
	n.w.counts.samples++
	if n.w.now >= n.core.FreshUntil() {
		n.w.counts.refusing++
	}
}

func (n *simNode) kill() {
	n.dead = true
	n.w.note("%s is killed", n.vm.ID)
}

func (n *simNode) pause() {
	n.paused = true
	n.w.note("%s is paused", n.vm.ID)
}

// resume resumes a paused process: all buffered events arrive at once, in random order.
func (n *simNode) resume() {
	if !n.paused {
		return
	}
	n.paused = false
	n.w.note("%s goes on", n.vm.ID)
	inbox := n.inbox
	n.inbox = nil
	n.w.random.Shuffle(len(inbox), func(i, j int) { inbox[i], inbox[j] = inbox[j], inbox[i] })
	for _, e := range inbox {
		n.step(e)
		n.w.check()
	}
}

// deliver passes an event to the process with the given boot, if it still runs.
func (n *simNode) deliver(boot uint64, e Event) {
	if n.dead || n.boot != boot {
		return
	}
	if n.paused {
		n.inbox = append(n.inbox, e)
		return
	}
	n.step(e)
}

func (n *simNode) step(e Event) {
	n.w.counts.steps++
	decisions := append([]Decision(nil), n.core.Step(n.w.now, e)...)
	for _, d := range decisions {
		n.execute(d)
	}
}

func (n *simNode) execute(d Decision) {
	w, boot := n.w, n.boot
	switch d := d.(type) {
	case ReadHead:
		w.counts.headReads++
		w.callTable(n, func() Event { return HeadRead{Token: d.Token, Revision: w.table.head()} }, ReadFailed(d))
	case Fetch:
		w.counts.docReads++
		w.callTable(n, func() Event { return Applied(d) }, ApplyFailed{Token: d.Token})
	case Apply:
		w.after(w.between(0, time.Millisecond), func() { n.deliver(boot, Applied{Token: d.Token, Revision: d.Update.To}) })
	case ReadList:
		w.counts.listReads++
		n.readList(d.Token)
	case AcceptList:
		n.members(d.List.To)
	case Wait:
		w.counts.waits++
		hold := time.Duration(0)
		if d.Args.Hold {
			hold = w.settings.MaxHold
		}
		ask := func(t Token) Event { return WaitRequested{Token: t, Args: d.Args} }
		answer := func(e Event) Event {
			r := e.(WaitReplied)
			r.Token = d.Token
			return r
		}
		n.call(d.Addr, hold+w.settings.CallTimeout, ask, answer, WaitFailed{Token: d.Token})
	case AnswerWait:
		if d.Known < d.Reply.Revision {
			d.Reply.Update = &archive.Update{To: d.Reply.Revision}
		}
		if d.SendList {
			d.Reply.List = &archive.Update{To: d.Reply.ListDigest}
		}
		n.answer(d.Token, WaitReplied{Reply: d.Reply})
	case Survey:
		w.counts.surveys++
		ask := func(t Token) Event { return SurveyRequested{Token: t, Args: d.Args} }
		answer := func(e Event) Event {
			r := e.(SurveyReplied)
			r.Token = d.Token
			return r
		}
		timeout := w.settings.CallTimeout
		if d.Args.Domain {
			timeout *= 2
		}
		n.call(d.Addr, timeout, ask, answer, SurveyFailed{Token: d.Token})
	case AnswerSurvey:
		n.answer(d.Token, SurveyReplied{Reply: d.Reply})
	case AnswerConfirm:
		n.confirmed(d)
	}
}

func (n *simNode) readList(t Token) {
	w := n.w
	if w.vms.down {
		w.callTable(n, func() Event { return ListFailed{Token: t} }, ListFailed{Token: t})
		return
	}
	boot := n.boot
	if w.net.noTable[n.vm.ID] {
		w.after(time.Millisecond, func() { n.deliver(boot, ListFailed{Token: t}) })
		return
	}
	latency := w.between(w.table.minLatency, w.table.maxLatency)
	w.after(latency/2, func() {
		digest := w.vms.asOf(w.now)
		w.after(latency/2, func() { n.deliver(boot, ListRead{Token: t, Digest: digest}) })
		w.after(latency/2, func() {
			if !n.dead && !n.paused && n.boot == boot {
				n.members(digest)
			}
		})
	})
}

// members passes the entry VMs of a list to the core.
func (n *simNode) members(digest uint64) {
	if digest == n.list {
		return
	}
	n.list = digest
	n.deliver(n.boot, MembersChanged{VMs: n.w.vms.states[digest-1].vms})
}

// call passes a request to a peer and its response back. It fails at once if the peer is dead,
// and at the timeout if no response arrives.
func (n *simNode) call(addr string, timeout time.Duration, ask func(Token) Event, answer func(Event) Event, failed Event) {
	w, boot := n.w, n.boot
	w.after(timeout, func() { n.deliver(boot, failed) })
	peer := w.byAddr[addr]
	if peer == nil || peer.dead {
		w.after(w.latency(), func() { n.deliver(boot, failed) })
		return
	}
	peerBoot := peer.boot
	w.after(w.latency(), func() {
		if !w.net.reach(n.vm.ID, peer.vm.ID) || peer.dead || peer.boot != peerBoot {
			return
		}
		peer.tokens++
		t := peer.tokens
		peer.replies[t] = func(e Event) {
			w.after(w.latency(), func() {
				if w.net.reach(n.vm.ID, peer.vm.ID) {
					n.deliver(boot, answer(e))
				}
			})
		}
		peer.deliver(peerBoot, ask(t))
	})
}

func (n *simNode) answer(t Token, e Event) {
	reply := n.replies[t]
	delete(n.replies, t)
	reply(e)
}

// askConfirm requests the confirmation of a revision from the node.
func (n *simNode) askConfirm(revision uint64) {
	n.tokens++
	n.deliver(n.boot, ConfirmRequested{Token: n.tokens, Revision: revision})
}

func (n *simNode) confirmed(d AnswerConfirm) {
	n.w.answers = append(n.w.answers, d.Confirmation)
	if d.Confirmation.InForce && d.Confirmation.Revision > n.w.reported {
		n.w.reported = d.Confirmation.Revision
		n.w.note("%s reports revision %d in force: %+v", n.vm.ID, n.w.reported, d.Confirmation)
	}
}
