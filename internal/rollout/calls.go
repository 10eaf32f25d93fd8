package rollout

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// perform executes an action in a goroutine of its own and posts the answer.
func (d *Driver) perform(a Action) {
	d.calls.Go(func() {
		ctx, cancel := context.WithTimeout(d.ctx, d.settings.CallTimeout)
		defer cancel()
		switch a := a.(type) {
		case ReadRow:
			d.post(d.readRow(ctx))
		case WriteRow:
			d.post(d.writeRow(ctx, a))
		case ReadEngine:
			d.post(d.readEngine(ctx, a))
		case SendOrder:
			d.post(OrderAnswer{Engine: a.Engine, Began: a.Began, Result: d.sendOrder(ctx, a)})
		case AskInForce:
			inForce, err := d.deps.InForce(ctx, a.Revision)
			d.post(InForceAnswer{Revision: a.Revision, InForce: inForce && err == nil})
		}
	})
}

func (d *Driver) readRow(ctx context.Context) Event {
	row, err := d.deps.Table.Get(ctx, RowKey)
	if err != nil {
		return RowAnswer{Failed: true}
	}
	d.checkRow(row.Value)
	return RowAnswer{Version: row.Version, Value: row.Value}
}

func (d *Driver) checkRow(value []byte) {
	if _, err := decodeRecord(value); err != nil {
		event.RolloutRowBad.Log(d.deps.Log, slog.Any("error", err))
	}
}

// writeRow answers with Failed also if the write was refused without the row's value: in
// both cases the row is read again.
func (d *Driver) writeRow(ctx context.Context, w WriteRow) Event {
	result, err := d.deps.Table.Commit(ctx, txn(w))
	switch {
	case err != nil || !result.Applied && len(result.Conflicts) == 0:
		return RowAnswer{Failed: true}
	case !result.Applied:
		row := result.Conflicts[0]
		d.checkRow(row.Value)
		return RowAnswer{Version: row.Version, Value: row.Value}
	}
	return RowWritten{Version: result.Version}
}

func (d *Driver) readEngine(ctx context.Context, r ReadEngine) Event {
	state, err := d.deps.Engines.State(ctx, r.Addr)
	answer := EngineAnswer{Engine: r.Engine, Began: r.Began, State: state, Failed: err != nil}
	if err != nil || !r.Load {
		return answer
	}
	if report, err := d.deps.Engines.Load(ctx, r.Addr); err == nil {
		answer.Load = &report
	}
	return answer
}

// sendOrder checks the time and the configuration once more: this goroutine may have been
// paused since the machine decided.
func (d *Driver) sendOrder(ctx context.Context, o SendOrder) OrderResult {
	snapshot, fresh := d.deps.Snapshot()
	if !fresh || snapshot.Revision != o.Revision || !time.Now().Before(o.Before) {
		return OrderNotSent
	}
	err := d.deps.Engines.Order(ctx, o.Addr, o.Order)
	result := orderResult(err)
	d.logOrder(o, result, err)
	return result
}

func orderResult(err error) OrderResult {
	var failure *upstream.Error
	switch {
	case err == nil:
		return OrderAccepted
	case errors.Is(err, upstream.ErrStaleFence):
		return OrderStale
	case errors.As(err, &failure) && failure.Reach != upstream.MaybeRun:
		return OrderNotSent
	}
	return OrderUnknown
}

func (d *Driver) logOrder(o SendOrder, result OrderResult, err error) {
	attrs := []slog.Attr{slog.String("engine", o.Engine), slog.Any("order", o.Order)}
	switch result {
	case OrderAccepted:
		event.RolloutOrder.Log(d.deps.Log, attrs...)
	case OrderStale:
		event.RolloutStale.Log(d.deps.Log, attrs...)
	case OrderNotSent, OrderUnknown:
		event.RolloutOrderFail.Log(d.deps.Log, append(attrs, slog.Any("error", err))...)
	}
}
