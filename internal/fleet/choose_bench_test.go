package fleet

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkChoose chooses an upstream for a prompt with shared parts, and
// BenchmarkFlight tells and takes what is under way.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{112, 1000, 10000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			f, now := some(count), time.Unix(1000, 0)
			w := AttemptSpec{Service: "s", Model: "m", Weight: 1, Tokens: 9000, Parts: []Part{{"a", 500}, {"b", 4500}}}
			for b.Loop() {
				w.Seed++
				f.Choose(w, now)
			}
		})
	}
}

func BenchmarkFlight(b *testing.B) {
	f, now := some(112), time.Unix(1000, 0)
	w := AttemptSpec{Service: "s", Model: "m", Weight: 1, Tokens: 9000}
	for i := range 112 {
		f.Begin(f.Get(fmt.Sprintf("u%d", i)), &w, now)
	}
	for b.Loop() {
		own := f.Flight()
		f.TakeFlight(own, own, now)
	}
}
