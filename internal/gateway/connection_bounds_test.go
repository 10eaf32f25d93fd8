package gateway

import (
	"testing"

	"github.com/matryer/is"
)

// idleBytes is the memory of a process without requests.
const idleBytes = 24 << 20

// Fails if the bounds on what clients take, all used at once, exceed the memory or the descriptors of a VM.
func TestBoundsOnClientsFitIntoTheVM(t *testing.T) {
	for _, memoryMB := range []int{88, 134, 284} {
		is := is.New(t)
		const maxFDs, sidePorts = 4200, 3
		b := newConnectionBounds(memoryMB, maxFDs)
		memory := float64(memoryMB) * (1 << 20)
		sum := idleBytes + (heldFraction+peerFraction)*memory +
			float64((b.callers+sidePorts*b.side)*(connectionBytes+unreadBytes)+b.peers*peerConnectionBytes)
		t.Logf("%d MiB: %+v, together %.0f MiB", memoryMB, b, sum/(1<<20))
		is.True(sum <= memory)
		is.True(float64(b.callers+sidePorts*b.side+b.peers) <= 0.65*(maxFDs-fileFDs))
		is.True(b.callers >= 500)
	}
	is := is.New(t)
	is.Equal(newConnectionBounds(0, 0), connectionBounds{})
	is.Equal(newConnectionBounds(0, 1), newConnectionBounds(0, MinFDs))
}
