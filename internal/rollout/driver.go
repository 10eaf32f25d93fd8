package rollout

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/duty"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// eventBuffer bounds the answers that wait for the machine.
const eventBuffer = 256

// Driver drives the roll-outs when it falls to this node. One goroutine owns
// the machine; each call has its own, and the machine bounds how many there
// are.
type Driver struct {
	settings Settings
	deps     Deps
	machine  *Machine
	events   chan Event

	ctx   context.Context
	stop  context.CancelFunc
	loop  duty.Group
	calls duty.Group
}

// New returns a Driver that is not yet started.
func New(s Settings, d Deps) *Driver {
	s = s.WithDefaults()
	ctx, stop := context.WithCancel(context.Background())
	return &Driver{
		settings: s,
		deps:     d,
		machine:  NewMachine(s, d.Self.ID, uuid.NewString()),
		events:   make(chan Event, eventBuffer),
		ctx:      ctx,
		stop:     stop,
	}
}

// Start begins to drive.
func (d *Driver) Start() error {
	if err := d.settings.Validate(); err != nil {
		return err
	}
	d.loop.Go(d.run)
	return nil
}

// Close ends the driving, gives the row up and waits for both, or for the end
// of ctx. The engines stay as they are, and orders in hand stay in the row;
// another node goes on with them.
func (d *Driver) Close(ctx context.Context) error {
	d.stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.loop.Wait()
		d.calls.Wait()
	}()
	select {
	case <-done:
		return d.release(ctx)
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "close roll-outs")
	}
}

// release saves the others the wait for the lease. If it fails they wait.
func (d *Driver) release(ctx context.Context) error {
	write, ok := d.machine.Release(time.Now())
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, d.settings.CallTimeout)
	defer cancel()
	_, err := d.deps.Table.Commit(ctx, txn(write))
	return eris.Wrap(err, "give up the roll-outs")
}

// Rollouts reads from the table how far the versions are.
func (d *Driver) Rollouts(ctx context.Context) ([]Status, error) {
	row, err := d.deps.Table.Get(ctx, RowKey)
	if err != nil {
		return nil, eris.Wrap(err, "read the roll-outs")
	}
	record, err := decodeRecord(row.Value)
	if err != nil {
		return nil, err
	}
	return record.statuses(), nil
}

func txn(w WriteRow) platform.Txn {
	return platform.Txn{
		Conditions: []platform.Condition{{Key: RowKey, Version: w.Version}},
		Writes:     []platform.Write{{Key: RowKey, Value: w.Value}},
	}
}
