package ledger

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/ledger/wire"
	"github.com/hickorybank/hickorybank/internal/peer"
)

// The net/rpc methods that peers call.
const (
	serviceName   = "Ledger"
	methodAppend  = serviceName + ".Append"
	methodCollect = serviceName + ".Collect"
	methodHold    = serviceName + ".Hold"
	methodRefresh = serviceName + ".Refresh"
	methodDrop    = serviceName + ".Drop"
	methodAlive   = serviceName + ".Alive"
)

// service handles calls from peers by net/rpc.
type service struct{ ledger *Ledger }

// Register registers the ledger's methods for peers under the name "Ledger".
func (l *Ledger) Register(s *peer.Server) error {
	return s.Register(serviceName, &service{l})
}

var errMalformed = eris.New("malformed message")

// Append appends an entry to a claim log and returns the verdict.
func (s *service) Append(args *wire.AppendArgs, reply *wire.AppendReply) error {
	if !s.ledger.beginCall() {
		return ErrClosed
	}
	defer s.ledger.endCall()
	e, ok := decodeEntry(args)
	if !ok {
		return errMalformed
	}
	wait := min(time.Duration(args.WaitMillis)*time.Millisecond, maxAppend)
	*reply = s.ledger.appendLocal(args.Log(), &e, wait)
	return nil
}

// Collect stores bills and returns the place where each is stored.
func (s *service) Collect(args *wire.CollectArgs, reply *wire.CollectReply) error {
	if !s.ledger.beginCall() {
		return ErrClosed
	}
	defer s.ledger.endCall()
	bills, err := args.Bills.Unpack()
	if err != nil {
		return err
	}
	from := fromPeer
	if args.Offer {
		from = fromOffer
	}
	reply.Safety = safetyBytes(s.ledger.collecting.collect(bills, from))
	return nil
}

// Hold holds a copy of a row, if there is room and the node does not stop.
func (s *service) Hold(args *wire.HoldArgs, reply *wire.HoldReply) error {
	if !s.ledger.beginCall() {
		return ErrClosed
	}
	defer s.ledger.endCall()
	row := args.Row()
	if _, err := row.Bills.Unpack(); err != nil {
		return err
	}
	return s.ledger.collecting.withHolder(func(now time.Time, c *collecting) {
		// A copy at the writer itself would be lost together with the row.
		reply.Held = !c.stopping && row.Writer != c.process && c.holder.Hold(now, row)
	})
}

// Refresh refreshes copies and returns the rows that this node does not hold.
func (s *service) Refresh(args *wire.HeldRowsArgs, reply *wire.HeldRowsReply) error {
	return s.ledger.collecting.withHolder(func(now time.Time, c *collecting) {
		reply.Missing = wire.Pack(c.holder.Refresh(now, args.Writer, args.Seqs()))
	})
}

// Drop deletes copies or, if their owner stops for good, takes the rows over.
func (s *service) Drop(args *wire.HeldRowsArgs, _ *wire.HeldRowsReply) error {
	return s.ledger.collecting.withHolder(func(_ time.Time, c *collecting) {
		if args.Gone {
			c.holder.OwnerStopped(args.Writer, args.Seqs())
			return
		}
		c.holder.Drop(args.Writer, args.Seqs())
	})
}

// Alive returns the id of this process.
func (s *service) Alive(_ *wire.AliveArgs, reply *wire.AliveReply) error {
	reply.Process = s.ledger.process
	return nil
}

// withHolder calls a function in the event loop that owns the held copies, and waits
// until it returns. The error is [ErrClosed].
func (c *collecting) withHolder(fn func(now time.Time, c *collecting)) error {
	done := make(chan struct{})
	posted := c.loop.post(func(now time.Time) {
		fn(now, c)
		close(done)
	})
	if !posted {
		return ErrClosed
	}
	select {
	case <-done:
		return nil
	case <-c.loop.done:
		return ErrClosed
	}
}
