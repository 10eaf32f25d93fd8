package archive

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"
)

// Fails if a delta that copies elements beyond the old array ends the process.
func TestDeltaBeyondItsBaseIsAnError(t *testing.T) {
	for _, r := range [][2]int{{math.MaxInt, math.MaxInt}, {1, math.MaxInt}, {math.MaxInt, 1}, {math.MinInt, 1}, {0, math.MinInt}, {2, 1}, {0, 3}} {
		is := is.New(t)
		d := Delta{Edits: Compress(fmt.Appendf(nil, `{"f":[{"n":"a","r":[{"f":%d,"c":%d}]}]}`, r[0], r[1]))}
		_, err := d.Apply([]byte(`{"a":[1,2]}`))
		is.True(err != nil)
	}
}
