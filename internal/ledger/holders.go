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

// holders speaks to the peers that hold copies of this node's rows.
type holders struct {
	peers peer.Caller
	route *route
}

// hold has a row held in as many other failure domains as needed, and returns
// the ids of the VMs that hold it.
func (h *holders) hold(ctx context.Context, row bill.Row) []string {
	var ids []string
	left := h.route.holders(time.Now(), row.Writer)
	taken := map[string]bool{}
	for len(ids) < holdCopies {
		var round []platform.VM
		round, left = h.round(left, taken, holdCopies-len(ids))
		if len(round) == 0 {
			return ids
		}
		for _, vm := range h.askAll(ctx, round, row) {
			ids = append(ids, vm.ID)
			taken[vm.FailureDomain] = true
		}
	}
	return ids
}

// round picks the next candidates, each in another failure domain.
func (h *holders) round(candidates []platform.VM, taken map[string]bool, n int) (round, left []platform.VM) {
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

func (h *holders) askAll(ctx context.Context, vms []platform.VM, row bill.Row) []platform.VM {
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
	var by []platform.VM
	for i, vm := range vms {
		if held[i] {
			by = append(by, vm)
		}
	}
	return by
}

// refresh tells the holders that the owner of their pieces lives, and returns
// the pieces of which a copy is missing.
func (h *holders) refresh(ctx context.Context, pieces []bill.Piece) []bill.Piece {
	var mu sync.Mutex
	var missing []bill.Piece
	var wg sync.WaitGroup
	for to, seqs := range byHolder(pieces) {
		wg.Go(func() {
			lost := h.ask(ctx, to, seqs)
			mu.Lock()
			defer mu.Unlock()
			for _, seq := range lost {
				missing = append(missing, bill.Piece{Writer: to.writer, Seq: seq})
			}
		})
	}
	wg.Wait()
	return missing
}

// ask returns the rows that a holder has not: all, if it does not answer.
func (h *holders) ask(ctx context.Context, to target, seqs []uint64) []uint64 {
	vm, ok := h.route.find(to.holder)
	if !ok {
		return seqs
	}
	args := wire.PiecesArgs{Writer: to.writer, Rows: wire.Pack(seqs)}
	var reply wire.PiecesReply
	if err := h.call(ctx, vm, methodRefresh, &args, &reply); err != nil {
		return seqs
	}
	return reply.Missing.Unpack()
}

// drop tells holders that rows are needed no more. One that does not hear of
// it writes them when their owner is silent, which is harmless.
func (h *holders) drop(ctx context.Context, pieces []bill.Piece) {
	h.tell(ctx, pieces, false)
}

// gone tells the holders that the owner stops, so that they write at once.
func (h *holders) gone(ctx context.Context, pieces []bill.Piece) {
	h.tell(ctx, pieces, true)
}

func (h *holders) tell(ctx context.Context, pieces []bill.Piece, gone bool) {
	var wg sync.WaitGroup
	for to, seqs := range byHolder(pieces) {
		if vm, ok := h.route.find(to.holder); ok {
			wg.Go(func() {
				args := wire.PiecesArgs{Writer: to.writer, Rows: wire.Pack(seqs), Gone: gone}
				_ = h.call(ctx, vm, methodDrop, &args, &wire.PiecesReply{})
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
		h.route.silent(vm)
	}
	return err
}

// target is a holder and the writer whose rows are meant.
type target struct{ holder, writer string }

func byHolder(pieces []bill.Piece) map[target][]uint64 {
	seqs := map[target][]uint64{}
	for _, p := range pieces {
		for _, id := range p.Holders {
			to := target{id, p.Writer}
			seqs[to] = append(seqs[to], p.Seq)
		}
	}
	return seqs
}
