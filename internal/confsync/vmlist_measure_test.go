package confsync

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/hickorybank/hickorybank/internal/archive"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// BenchmarkListHeap measures the heap of a decoded VM list, without its encoding, at a node
// that received it from a peer.
func BenchmarkListHeap(b *testing.B) {
	for _, vms := range []int{24, 250, 2500, 11_600} {
		b.Run(fmt.Sprint("vms=", vms), func(b *testing.B) {
			list, err := newVMList(zonedVMs(vms))
			if err != nil {
				b.Fatal(err)
			}
			sent := archive.New(list.digest, list.raw, nil)
			kept := make([]*vmList, 0, b.N)
			before := liveHeap()
			for range b.N {
				decoded, err := parseVMList(sent)
				if err != nil {
					b.Fatal(err)
				}
				kept = append(kept, decoded)
			}
			b.ReportMetric(float64(liveHeap()-before)/float64(b.N), "heap-bytes")
			runtime.KeepAlive(kept)
		})
	}
}

func zonedVMs(n int) []platform.VM {
	list := make([]platform.VM, n)
	for i := range list {
		list[i] = platform.VM{
			ID: fmt.Sprintf("runner-%05d", i), Role: platform.RoleEngine, State: platform.Live,
			Addr: fmt.Sprintf("10.0.%d.%d:8000", i>>8, i&255), FailureDomain: fmt.Sprint("region-3-zone-", i%38),
		}
	}
	return list
}

func liveHeap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
