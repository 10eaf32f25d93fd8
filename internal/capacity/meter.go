package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// Meter measures the processor time and memory of this process.
type Meter struct {
	// Span is the minimum processor time of one round.
	Span time.Duration
	// Rounds is the number of rounds. The least result counts, since other work on the machine
	// only adds time.
	Rounds int
	// Window is the wall-clock time for which fleets are measured.
	Window time.Duration
}

// FullMeter is for full runs, QuickMeter for quick runs.
var (
	FullMeter  = Meter{Span: 50 * time.Millisecond, Rounds: 4, Window: 2500 * time.Millisecond}
	QuickMeter = Meter{Span: 5 * time.Millisecond, Rounds: 2, Window: 500 * time.Millisecond}
)

// maxRepeats limits the repetitions in a round if one repetition takes almost no time.
const maxRepeats = 1 << 24

// CPU returns the processor time of one repetition in nanoseconds; run repeats its work n
// times.
func (m Meter) CPU(run func(n int)) float64 {
	n := m.calibrate(run)
	least := -1.0
	for range m.Rounds {
		runtime.GC()
		per := float64(processorTime(func() { run(n) })) / float64(n)
		if least < 0 || per < least {
			least = per
		}
	}
	return least
}

// calibrate returns the number of repetitions that fill the span.
func (m Meter) calibrate(run func(n int)) int {
	n := 1
	for n < maxRepeats {
		took := processorTime(func() { run(n) })
		if took >= m.Span {
			break
		}
		if took < m.Span/20 {
			n *= 10
			continue
		}
		n = max(n+1, int(float64(n)*1.1*float64(m.Span)/float64(took)))
	}
	return n
}

// PerSecond returns the processor time in nanoseconds that this process uses per second while
// other goroutines work.
func (m Meter) PerSecond() float64 {
	return m.increasePerSecond(func() float64 { return float64(cpuTime()) })
}

// increasePerSecond returns the mean increase of count per second over the window, since held
// calls arrive in bursts.
func (m Meter) increasePerSecond(count func() float64) float64 {
	before, began := count(), time.Now()
	time.Sleep(m.Window)
	return (count() - before) / time.Since(began).Seconds()
}

// processorTime returns the user and system time that this process uses while run executes.
func processorTime(run func()) time.Duration {
	before := cpuTime()
	run()
	return cpuTime() - before
}

func cpuTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		panic(err) // the arguments are constants
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// Heap returns the live heap of the value that build returns, in bytes.
func (m Meter) Heap(build func() any) float64 {
	before := liveHeap()
	value := build()
	after := liveHeap()
	runtime.KeepAlive(value)
	return max(0, float64(after)-float64(before))
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
