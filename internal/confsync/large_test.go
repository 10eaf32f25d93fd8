package confsync_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"testing"
	"time"

	"github.com/hickorybank/hickorybank/internal/archive"
	"github.com/hickorybank/hickorybank/internal/confsync"
	"github.com/hickorybank/hickorybank/internal/peer"
)

// narrowCaller is a caller that receives responses over a quarter of a link of 10 Mbit/s: a
// parent in the tree serves four children.
type narrowCaller struct{ *peer.Pool }

const narrowBytesPerSecond = 1.25e6 / 4 // bytes a second

func (c narrowCaller) Call(ctx context.Context, addr, method string, args, reply any) error {
	if err := c.Pool.Call(ctx, addr, method, args, reply); err != nil {
		return err
	}
	var size bytes.Buffer
	if err := gob.NewEncoder(&size).Encode(reply); err != nil {
		return err
	}
	passed := time.NewTimer(time.Duration(float64(size.Len()) / narrowBytesPerSecond * float64(time.Second)))
	defer passed.Stop()
	select {
	case <-ctx.Done():
		return peer.ErrUnknown
	case <-passed.C:
		return nil
	}
}

// noDocuments is a table from which a node can read only the head.
type noDocuments struct{ confsync.Store }

var errNoDocuments = errors.New("no documents for this node")

func (noDocuments) Document(context.Context, uint64) ([]byte, error) { return nil, errNoDocuments }
func (noDocuments) Deltas(context.Context, uint64, uint64) ([]archive.Delta, error) {
	return nil, errNoDocuments
}

// A node that cannot read documents of the table starts in a deployment with 2,400
// organisations, as one of four children of a parent with a link of 10 Mbit/s. A call
// times out after 250 ms, but the packed document takes 0.6 s. Sent whole, it would never
// arrive, and the node would admit no work. In pieces, each with a timeout of its own, it
// arrives.
func TestLargeDocumentIsTransferredInPieces(t *testing.T) {
	t.Parallel()
	f := newFleetWith(t, 3, 1, func() caller { return narrowCaller{peer.NewPool()} })
	f.doc = sized(2400)
	f.change(0, "day")
	f.await("revision 1", admitsUnder(1))
	f.addWith("late", "d0", func(s confsync.Store) confsync.Store { return noDocuments{s} })
	f.await("revision 1 at all", admitsUnder(1))
	f.change(1, "night")
	f.await("revision 2", admitsUnder(2))
}
