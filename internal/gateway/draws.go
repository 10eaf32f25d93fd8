package gateway

import (
	"math/rand/v2"
	"sync"
)

// draws is a node's generator of random choices. Seeded, it makes the choices of a node
// repeatable in tests. It is safe for concurrent use.
type draws struct {
	mu     sync.Mutex
	random *rand.Rand
}

// newDraws returns a generator with a seed; 0 means a random one.
func newDraws(seed uint64) *draws {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &draws{random: rand.New(rand.NewPCG(seed, seed))}
}

// IntN returns a number from 0 to n-1.
func (d *draws) IntN(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.IntN(n)
}

// Int64N returns a number from 0 to n-1.
func (d *draws) Int64N(n int64) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.Int64N(n)
}

// Uint64 returns a number.
func (d *draws) Uint64() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.Uint64()
}

// Float64 returns a number from 0 to less than 1.
func (d *draws) Float64() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.Float64()
}

// Shuffle puts n elements in a random order.
func (d *draws) Shuffle(n int, swap func(i, k int)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.random.Shuffle(n, swap)
}
