package ledger

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/ledger/wire"
	"github.com/hickorybank/hickorybank/internal/peer"
)

// The methods that peers call.
const (
	serviceName   = "Ledger"
	methodAppend  = serviceName + ".Append"
	methodCollect = serviceName + ".Collect"
	methodHold    = serviceName + ".Hold"
	methodRefresh = serviceName + ".Refresh"
	methodDrop    = serviceName + ".Drop"
	methodAlive   = serviceName + ".Alive"
)

// service answers peers, in net/rpc's form.
type service struct{ ledger *Ledger }

// Register offers the ledger's methods to peers, under the name "Ledger".
func (l *Ledger) Register(s *peer.Server) error {
	return s.Register(serviceName, &service{l})
}

var errMalformed = eris.New("malformed message")

// Append brings an entry into a claim log.
func (s *service) Append(args *wire.AppendArgs, reply *wire.AppendReply) error {
	if !s.ledger.enter() {
		return ErrClosed
	}
	defer s.ledger.leave()
	e, ok := entryOf(args)
	if !ok {
		return errMalformed
	}
	wait := min(time.Duration(args.WaitMillis)*time.Millisecond, maxAppend)
	*reply = s.ledger.appendHere(args.Log(), &e, wait)
	return nil
}

// Collect makes bills safe.
func (s *service) Collect(args *wire.CollectArgs, reply *wire.CollectReply) error {
	if !s.ledger.enter() {
		return ErrClosed
	}
	defer s.ledger.leave()
	bills, err := args.Bills.Unpack()
	if err != nil {
		return err
	}
	reply.Safety = safetyBytes(s.ledger.collecting.collect(bills))
	return nil
}

// Hold keeps a copy of a row.
func (s *service) Hold(args *wire.HoldArgs, reply *wire.HoldReply) error {
	if !s.ledger.enter() {
		return ErrClosed
	}
	defer s.ledger.leave()
	row := args.Row()
	if _, err := row.Bills.Unpack(); err != nil {
		return err
	}
	return s.ledger.collecting.withHolder(func(now time.Time, c *collecting) {
		// A writer's own copy would go with the row that it is a copy of.
		reply.Held = !c.leaving && row.Writer != c.process && c.holder.Hold(now, row)
	})
}

// Refresh hears that an owner lives.
func (s *service) Refresh(args *wire.PiecesArgs, reply *wire.PiecesReply) error {
	return s.ledger.collecting.withHolder(func(now time.Time, c *collecting) {
		reply.Missing = wire.Pack(c.holder.Refresh(now, args.Writer, args.Seqs()))
	})
}

// Drop forgets copies, or hears that their owner stops.
func (s *service) Drop(args *wire.PiecesArgs, _ *wire.PiecesReply) error {
	return s.ledger.collecting.withHolder(func(_ time.Time, c *collecting) {
		if args.Gone {
			c.holder.Gone(args.Writer, args.Seqs())
			return
		}
		c.holder.Drop(args.Writer, args.Seqs())
	})
}

// Alive names this process.
func (s *service) Alive(_ *wire.AliveArgs, reply *wire.AliveReply) error {
	reply.Process = s.ledger.process
	return nil
}

// withHolder does something to the copies on the duty that owns them, and
// waits until it is done.
func (c *collecting) withHolder(do func(now time.Time, c *collecting)) error {
	done := make(chan struct{})
	taken := c.ring.post(func(now time.Time) {
		do(now, c)
		close(done)
	})
	if !taken {
		return ErrClosed
	}
	select {
	case <-done:
		return nil
	case <-c.ring.done:
		return ErrClosed
	}
}
