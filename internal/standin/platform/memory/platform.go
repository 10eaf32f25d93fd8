package memory

import (
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
	"github.com/hickorybank/hickorybank/internal/standin/platform/limit"
	"github.com/hickorybank/hickorybank/internal/standin/platform/rating"
	"github.com/hickorybank/hickorybank/internal/standin/platform/table"
	"github.com/hickorybank/hickorybank/internal/standin/platform/vmlist"
)

// Platform is the in-process stand-in platform. It is safe for concurrent use.
type Platform struct {
	settings Settings

	mu      sync.Mutex
	table   *table.Table
	objects map[string][]byte
	vms     *vmlist.List
	lag     time.Duration
	rater   *rating.Rater
	pacer   *limit.Pacer
	faults  *fault.Injector
	late    lateWrites

	// reads and writes limit and count the calls of the table and the object store
	// together. The other meters only count.
	reads   *meter
	writes  *meter
	vmLists *meter
	ratings *meter
	weights *meter

	conflicts   uint64
	faulted     uint64
	dropped     uint64
	lostAcks    uint64
	weightBytes uint64
}

var _ platform.Platform = (*Platform)(nil)

// New returns an empty platform. It does not validate the settings.
func New(opts ...Option) *Platform {
	var s Settings
	for _, opt := range opts {
		opt(&s)
	}
	s = s.withDefaults()
	return &Platform{
		settings: s,
		table:    table.New(),
		objects:  make(map[string][]byte),
		vms:      vmlist.New(),
		lag:      s.VMListLag,
		rater:    rating.New(s.Seed, s.RatingNoise, s.DefaultQuality),
		pacer:    limit.NewPacer(s.WeightBytesPerSecond),
		faults:   fault.NewInjector(s.Seed),
		reads:    newMeter(s.ReadsPerSecond),
		writes:   newMeter(s.WritesPerSecond),
		vmLists:  newMeter(0),
		ratings:  newMeter(0),
		weights:  newMeter(0),
	}
}

// Objects implements [platform.Platform].
func (p *Platform) Objects() platform.Objects { return objects{p} }

// VMs implements [platform.Platform].
func (p *Platform) VMs() platform.VMs { return vms{p} }
