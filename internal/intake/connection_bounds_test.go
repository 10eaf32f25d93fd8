package intake

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
		b := NewConnectionBounds(memoryMB, maxFDs)
		memory := float64(memoryMB) * (1 << 20)
		sum := idleBytes + (heldFraction+peerFraction)*memory +
			float64((b.Callers+sidePorts*b.Side)*(connectionBytes+UnreadBytes)+b.Peers*peerConnectionBytes)
		t.Logf("%d MiB: %+v, together %.0f MiB", memoryMB, b, sum/(1<<20))
		is.True(sum <= memory)
		is.True(float64(b.Callers+sidePorts*b.Side+b.Peers) <= 0.65*(maxFDs-fileFDs))
		is.True(b.Callers >= 500)
	}
	is := is.New(t)
	is.Equal(NewConnectionBounds(0, 0), ConnectionBounds{})
	is.Equal(NewConnectionBounds(0, 1), NewConnectionBounds(0, MinFDs))
}
