package memory

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/hickorybank/hickorybank/internal/standin/platform/vmlist"
)

// Limits are the settings that may change while the platform runs.
type Limits struct {
	WritesPerSecond      float64 `json:"writes_per_second"`
	ReadsPerSecond       float64 `json:"reads_per_second"`
	WeightBytesPerSecond int64   `json:"weight_bytes_per_second"`
	VMListLagMS          int64   `json:"vm_list_lag_ms"`
}

// LimitsChange sets the limits it names; the others stay.
type LimitsChange struct {
	WritesPerSecond      *float64 `json:"writes_per_second,omitempty"`
	ReadsPerSecond       *float64 `json:"reads_per_second,omitempty"`
	WeightBytesPerSecond *int64   `json:"weight_bytes_per_second,omitempty"`
	VMListLagMS          *int64   `json:"vm_list_lag_ms,omitempty"`
}

// Validate names every impossible value by its field.
func (c LimitsChange) Validate() error {
	var wrong []string
	add := func(field string, value any, accepted string) {
		wrong = append(wrong, fmt.Sprintf("%s: %v; accepted is %s", field, value, accepted))
	}
	if c.WritesPerSecond != nil && !rate(*c.WritesPerSecond) {
		add("writes_per_second", *c.WritesPerSecond, "0 or more")
	}
	if c.ReadsPerSecond != nil && !rate(*c.ReadsPerSecond) {
		add("reads_per_second", *c.ReadsPerSecond, "0 or more")
	}
	if c.WeightBytesPerSecond != nil && *c.WeightBytesPerSecond < 0 {
		add("weight_bytes_per_second", *c.WeightBytesPerSecond, "0 or more")
	}
	most := vmlist.MaxLag.Milliseconds()
	if c.VMListLagMS != nil && (*c.VMListLagMS < 0 || *c.VMListLagMS > most) {
		add("vm_list_lag_ms", *c.VMListLagMS, fmt.Sprintf("0 to %d", most))
	}
	if len(wrong) == 0 {
		return nil
	}
	return errors.New(strings.Join(wrong, "; "))
}

// rate is false for NaN and for what a clock cannot measure.
func rate(r float64) bool { return r >= 0 && r <= 1e9 }

// SetLimits changes limits; an invalid change is refused whole.
func (p *Platform) SetLimits(c LimitsChange) error {
	if err := c.Validate(); err != nil {
		return invalid("%s", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settled()
	if c.WritesPerSecond != nil {
		p.writes.bucket.SetRate(*c.WritesPerSecond, now)
	}
	if c.ReadsPerSecond != nil {
		p.reads.bucket.SetRate(*c.ReadsPerSecond, now)
	}
	if c.WeightBytesPerSecond != nil {
		p.pacer.SetRate(*c.WeightBytesPerSecond)
	}
	if c.VMListLagMS != nil {
		p.lag = time.Duration(*c.VMListLagMS) * time.Millisecond
	}
	return nil
}

// Limits returns the limits in force.
func (p *Platform) Limits() Limits {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Limits{
		WritesPerSecond:      p.writes.bucket.Rate(),
		ReadsPerSecond:       p.reads.bucket.Rate(),
		WeightBytesPerSecond: p.pacer.Rate(),
		VMListLagMS:          p.lag.Milliseconds(),
	}
}
