package memory

import (
	"context"
	"time"

	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
)

// Download is one download of a version's weights. All downloads share one byte rate.
// A Download is not safe for concurrent use.
type Download struct {
	p    *Platform
	left int64
}

// Weights starts a download of a version's weights. It returns a refusal when the
// version is empty or a fault refuses the call.
func (p *Platform) Weights(ctx context.Context, version string) (*Download, error) {
	if version == "" {
		return nil, invalid("version: missing")
	}
	err := p.read(ctx, fault.Weights, p.weights, func(time.Time) {})
	if err != nil {
		return nil, err
	}
	return &Download{p: p, left: p.settings.WeightBytes}, nil
}

// FetchWeights downloads a version's weights, discards them, and returns the number of
// bytes, also when the download fails.
func (p *Platform) FetchWeights(ctx context.Context, version string) (int64, error) {
	d, err := p.Weights(ctx, version)
	if err != nil {
		return 0, err
	}
	var total int64
	for d.Left() > 0 {
		n, err := d.Next(ctx)
		total += n
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// Left returns the number of bytes that have not been downloaded.
func (d *Download) Left() int64 { return d.left }

// Next waits for the next chunk and returns its size in bytes; 0 at the end. It
// returns a refusal when the weight store is down or ctx is done.
func (d *Download) Next(ctx context.Context) (int64, error) {
	n, delay, err := d.reserve()
	if err != nil {
		return 0, err
	}
	if err := d.p.wait(ctx, delay); err != nil {
		return 0, wire.Refused(err)
	}
	d.left -= n
	return n, nil
}

// reserve reserves the next chunk and returns its size and the time until it has been
// sent.
func (d *Download) reserve() (int64, time.Duration, error) {
	d.p.mu.Lock()
	defer d.p.mu.Unlock()
	if d.p.faults.Down(fault.Weights) {
		return 0, 0, unavailable(fault.Weights)
	}
	n := min(d.left, d.p.pacer.Chunk())
	d.p.weightBytes += uint64(n)
	return n, d.p.pacer.Reserve(n, d.p.settings.Now()), nil
}
