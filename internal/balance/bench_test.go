package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
)

var policies = []PolicyName{PolicyRoundRobin, PolicyRandom, PolicyLeastLoaded, PolicyTwoChoices, PolicyAffinity}

// BenchmarkPick is one Pick and its Done with the usual subset.
func BenchmarkPick(b *testing.B) {
	for _, name := range policies {
		b.Run(string(name), func(b *testing.B) { benchPick(b, name, 64, 64) })
	}
}

// BenchmarkPickKnown is the same with more upstreams known than dealt with.
func BenchmarkPickKnown(b *testing.B) {
	for _, known := range []int{24, 128, 1000, 10_000} {
		b.Run(fmt.Sprint(known), func(b *testing.B) { benchPick(b, PolicyAffinity, known, 64) })
	}
}

func benchPick(b *testing.B, name PolicyName, known, size int) {
	bal := New(Settings{SelfDomain: "domain-0", Policy: name, SubsetSize: size})
	vms := engines(known)
	bal.SetMembers(vms, Place{Count: 1}, epoch)
	for _, s := range bal.Status(epoch) {
		bal.Report(s.VM.ID, loadOf(8, "v@1"), epoch)
	}
	b.ReportAllocs()
	now := epoch
	for i := 0; b.Loop(); i++ {
		now = now.Add(10 * time.Millisecond)
		pick, ok := bal.Pick(Request{Version: "v@1", PrefixHash: uint64(i%200 + 1), Kind: config.Heavy, Now: now, Random: mix(1, uint64(i))})
		if !ok {
			b.Fatal("no upstream")
		}
		bal.Done(pick.Token, Result{Outcome: Succeeded, FirstToken: time.Second, Latency: 10 * time.Second, Tokens: 200}, now)
	}
}

// BenchmarkSetMembers is one change of the VM list.
func BenchmarkSetMembers(b *testing.B) {
	for _, known := range []int{24, 128, 1000, 10_000} {
		b.Run(fmt.Sprint(known), func(b *testing.B) {
			bal := New(Settings{SelfDomain: "domain-0"})
			vms := engines(known)
			b.ReportAllocs()
			for b.Loop() {
				bal.SetMembers(vms, Place{Count: 1}, epoch)
			}
		})
	}
}
