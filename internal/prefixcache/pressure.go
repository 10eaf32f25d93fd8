package prefixcache

import "time"

// MaxLifetime is how long a block counts as kept at an upstream under no pressure.
const MaxLifetime = 8 * time.Second

// Pressure describes the load on the memory of an upstream, in tokens. The zero value means
// that nothing is known.
type Pressure struct {
	// Capacity is the size of the memory; 0 if it is unknown.
	Capacity float64
	// Held is what running requests occupy, PerSecond what is added each second.
	Held, PerSecond float64
}

// Lifetime returns how long a block is kept after its last use: until as many tokens were
// added as running requests leave free, because the least recently used blocks yield.
func (p *Pressure) Lifetime() time.Duration {
	free := max(p.Capacity-p.Held, 0)
	if p.Capacity <= 0 || p.PerSecond <= 0 || free >= p.PerSecond*MaxLifetime.Seconds() {
		return MaxLifetime
	}
	return time.Duration(free / p.PerSecond * float64(time.Second))
}

// Kept returns the probability that a block is kept at an age since its last use. It falls from
// 1 at half the lifetime to 0 at one and a half, since pressure is an estimate. A block that is
// older than [MaxLifetime] counts as gone.
func Kept(age, lifetime time.Duration) float64 {
	if age > MaxLifetime || lifetime <= 0 {
		return 0
	}
	if lifetime >= MaxLifetime {
		return 1
	}
	return min(max(1.5-age.Seconds()/lifetime.Seconds(), 0), 1)
}
