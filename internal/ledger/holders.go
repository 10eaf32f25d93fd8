package ledger

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/wire"
	"github.com/hickorybank/hickorybank/internal/peer"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// holdTimeout bounds a call to one holder.
const holdTimeout = time.Second

// holders calls the peers that hold copies of this node's rows.
type holders struct {
	peers  peer.Caller
	router *router
}

// hold has peers in holdCopies other failure domains hold a row, and returns the ids of
// the VMs that do. There may be fewer.
func (h *holders) hold(ctx context.Context, row bill.Row) []string {
	var ids []string
	left := h.router.holders(time.Now(), row.Writer)
	taken := map[string]bool{}
	for len(ids) < holdCopies {
		var round []platform.VM
		round, left = h.pickRound(left, taken, holdCopies-len(ids))
		if len(round) == 0 {
			return ids
		}
		for _, vm := range h.holdAll(ctx, round, row) {
			ids = append(ids, vm.ID)
			taken[vm.FailureDomain] = true
		}
	}
	return ids
}

// pickRound picks up to n of the candidates, each in another failure domain, none of which
// is taken. It also returns the candidates left for a later round.
func (h *holders) pickRound(candidates []platform.VM, taken map[string]bool, n int) (round, left []platform.VM) {
	seen := maps.Clone(taken)
	for _, vm := range candidates {
		switch {
		case taken[vm.FailureDomain]:
		case seen[vm.FailureDomain] || len(round) == n:
			left = append(left, vm)
		default:
			seen[vm.FailureDomain] = true
			round = append(round, vm)
		}
	}
	return round, left
}

func (h *holders) holdAll(ctx context.Context, vms []platform.VM, row bill.Row) []platform.VM {
	held := make([]bool, len(vms))
	var wg sync.WaitGroup
	for i, vm := range vms {
		wg.Go(func() {
			var reply wire.HoldReply
			args := wire.NewHoldArgs(row)
			err := h.call(ctx, vm, methodHold, &args, &reply)
			held[i] = err == nil && reply.Held
		})
	}
	wg.Wait()
	var accepted []platform.VM
	for i, vm := range vms {
		if held[i] {
			accepted = append(accepted, vm)
		}
	}
	return accepted
}

// refresh refreshes rows at their holders, and returns the rows of which a copy is
// missing.
func (h *holders) refresh(ctx context.Context, heldRows []bill.HeldRow) []bill.HeldRow {
	var mu sync.Mutex
	var missing []bill.HeldRow
	var wg sync.WaitGroup
	for to, seqs := range byHolder(heldRows) {
		wg.Go(func() {
			lost := h.missingAt(ctx, to, seqs)
			mu.Lock()
			defer mu.Unlock()
			for _, seq := range lost {
				missing = append(missing, bill.HeldRow{Writer: to.writer, Seq: seq})
			}
		})
	}
	wg.Wait()
	return missing
}

// missingAt refreshes rows at one holder and returns those that it does not hold, which
// are all of them if it does not answer.
func (h *holders) missingAt(ctx context.Context, to target, seqs []uint64) []uint64 {
	vm, ok := h.router.find(to.holder)
	if !ok {
		return seqs
	}
	args := wire.HeldRowsArgs{Writer: to.writer, Rows: wire.Pack(seqs)}
	var reply wire.HeldRowsReply
	if err := h.call(ctx, vm, methodRefresh, &args, &reply); err != nil {
		return seqs
	}
	return reply.Missing.Unpack()
}

// drop tells holders that rows are no longer needed. A holder that does not get the call
// takes the rows over later and writes them, which does no harm.
func (h *holders) drop(ctx context.Context, heldRows []bill.HeldRow) {
	h.callDrop(ctx, heldRows, false)
}

// ownerStopped tells the holders that the owner stops, so that they take the rows over
// at once.
func (h *holders) ownerStopped(ctx context.Context, heldRows []bill.HeldRow) {
	h.callDrop(ctx, heldRows, true)
}

func (h *holders) callDrop(ctx context.Context, heldRows []bill.HeldRow, gone bool) {
	var wg sync.WaitGroup
	for to, seqs := range byHolder(heldRows) {
		if vm, ok := h.router.find(to.holder); ok {
			wg.Go(func() {
				args := wire.HeldRowsArgs{Writer: to.writer, Rows: wire.Pack(seqs), Gone: gone}
				_ = h.call(ctx, vm, methodDrop, &args, &wire.HeldRowsReply{})
			})
		}
	}
	wg.Wait()
}

func (h *holders) call(ctx context.Context, vm platform.VM, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	err := h.peers.Call(ctx, vm.Peer, method, args, reply)
	if err != nil {
		h.router.markSuspect(vm)
	}
	return err
}

// target is a holder, and the writer of the rows that it holds.
type target struct{ holder, writer string }

func byHolder(heldRows []bill.HeldRow) map[target][]uint64 {
	seqs := map[target][]uint64{}
	for _, p := range heldRows {
		for _, id := range p.Holders {
			to := target{id, p.Writer}
			seqs[to] = append(seqs[to], p.Seq)
		}
	}
	return seqs
}
