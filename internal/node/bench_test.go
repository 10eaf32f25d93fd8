package node

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// BenchmarkChat requests answers of 16 tokens, without streaming, through one node. Callers,
// engines and node share the process.
func BenchmarkChat(b *testing.B) {
	f := newFleet(b, fleetSize{nodes: 2, engines: 3, services: 1, tokens: 16, tokenGap: 100 * time.Microsecond})
	b.ResetTimer()
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		i := 0
		for pb.Next() {
			i++
			r, err := f.chat(f.nodes[0], "dues@2", "", fmt.Sprint("statement ", i))
			if err != nil || !strings.Contains(r.body, "t16 ") {
				b.Errorf("%v %s", err, r.body)
				return
			}
		}
	})
}

// BenchmarkService sends calls of a plain service, without a key, through one node.
func BenchmarkService(b *testing.B) {
	f := newFleet(b, fleetSize{nodes: 2, engines: 1, services: 2, tokens: 1})
	b.ResetTimer()
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r, err := f.settle(f.nodes[0], "", "dues")
			if err != nil || r.status != 200 {
				b.Errorf("%v %s", err, r.body)
				return
			}
		}
	})
}
