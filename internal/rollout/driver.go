package rollout

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/duty"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// eventBuffer is how many answers may wait for the machine.
const eventBuffer = 256

// Driver drives the rollouts while this node holds the lease. One goroutine owns the
// machine. Each call runs in its own goroutine, and the machine bounds their number.
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

// New returns a Driver that is not started.
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

// Start validates the settings and starts the driver.
func (d *Driver) Start() error {
	if err := d.settings.Validate(); err != nil {
		return err
	}
	d.loop.Go(d.run)
	return nil
}

// Close stops the driver, waits for its calls and releases the row, or ends with ctx. The
// engines keep their versions, and pending orders stay in the row for the next driver.
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
		return eris.Wrap(ctx.Err(), "close the roll-out driver")
	}
}

// release gives the row up, so that other nodes need not wait for the lease to expire.
func (d *Driver) release(ctx context.Context) error {
	write, ok := d.machine.Release(time.Now())
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, d.settings.CallTimeout)
	defer cancel()
	_, err := d.deps.Table.Commit(ctx, txn(write))
	return eris.Wrap(err, "release the row of the roll-outs")
}

// Rollouts reads the state of all versions from the table.
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
