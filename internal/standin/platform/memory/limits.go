package memory

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/hickorybank/hickorybank/internal/standin/platform/vmlist"
)

// Limits are the settings that can change while the platform runs.
type Limits struct {
	// WritesPerSecond bounds table commits and object puts together; 0 means no limit.
	WritesPerSecond float64 `json:"writes_per_second"`
	// ReadsPerSecond bounds table and object reads together; 0 means no limit.
	ReadsPerSecond float64 `json:"reads_per_second"`
	// WeightBytesPerSecond bounds all weight downloads together; 0 means no limit.
	WeightBytesPerSecond int64 `json:"weight_bytes_per_second"`
	// VMListLagMS is the age of the VM list that reads return, in milliseconds.
	VMListLagMS int64 `json:"vm_list_lag_ms"`
}

// LimitsChange changes some of the [Limits]. A field that is nil leaves its limit
// unchanged.
type LimitsChange struct {
	// WritesPerSecond is the new [Limits.WritesPerSecond].
	WritesPerSecond *float64 `json:"writes_per_second,omitempty"`
	// ReadsPerSecond is the new [Limits.ReadsPerSecond].
	ReadsPerSecond *float64 `json:"reads_per_second,omitempty"`
	// WeightBytesPerSecond is the new [Limits.WeightBytesPerSecond].
	WeightBytesPerSecond *int64 `json:"weight_bytes_per_second,omitempty"`
	// VMListLagMS is the new [Limits.VMListLagMS], at most [vmlist.MaxLag].
	VMListLagMS *int64 `json:"vm_list_lag_ms,omitempty"`
}

// Validate returns an error that lists every invalid value with its field and the
// accepted range.
func (c LimitsChange) Validate() error {
	var problems []string
	add := func(field string, value any, accepted string) {
		problems = append(problems, fmt.Sprintf("%s: %v; accepted is %s", field, value, accepted))
	}
	if c.WritesPerSecond != nil && !validRate(*c.WritesPerSecond) {
		add("writes_per_second", *c.WritesPerSecond, "0 or more")
	}
	if c.ReadsPerSecond != nil && !validRate(*c.ReadsPerSecond) {
		add("reads_per_second", *c.ReadsPerSecond, "0 or more")
	}
	if c.WeightBytesPerSecond != nil && *c.WeightBytesPerSecond < 0 {
		add("weight_bytes_per_second", *c.WeightBytesPerSecond, "0 or more")
	}
	maxLagMS := vmlist.MaxLag.Milliseconds()
	if c.VMListLagMS != nil && (*c.VMListLagMS < 0 || *c.VMListLagMS > maxLagMS) {
		add("vm_list_lag_ms", *c.VMListLagMS, fmt.Sprintf("0 to %d", maxLagMS))
	}
	if len(problems) == 0 {
		return nil
	}
	return errors.New(strings.Join(problems, "; "))
}

// validRate reports whether r is a usable rate per second. It is false for NaN and for
// rates above one call per nanosecond, the resolution of the clock.
func validRate(r float64) bool { return r >= 0 && r <= 1e9 }

// SetLimits sets the limits that are not nil in the change. An invalid change is
// refused and changes nothing.
func (p *Platform) SetLimits(c LimitsChange) error {
	if err := c.Validate(); err != nil {
		return invalid("%s", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.applyDueWrites()
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

// Limits returns the current limits.
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
