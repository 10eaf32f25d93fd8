package crashguard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Fails if a pardon does not end a conviction for good, or has the parts of the prompt convicted in
// place of the request.
func TestPardonEndsAConviction(t *testing.T) {
	is := is.New(t)
	e, g, peer := newRecordEnv(), New(), New()
	chain := Chain{PartKey("shared"), RequestKey("o", "/", nil)}
	e.strike(g, chain, 6, time.Second)
	is.True(len(g.Blocking(chain, e.now)) > 0)
	held := g.Held(e.now)
	is.True(len(held) > 0)
	key, err := ParseKey(held[0].Key)
	is.NoErr(err)
	peer.Merge(g.Report(e.now), e.now)
	e.write(t, g)
	is.True(g.Pardon(key, e.now))
	is.Equal(len(g.Blocking(chain, e.now)), 0)
	is.Equal(len(g.Held(e.now)), 0)
	is.True(!g.Pardon(key, e.now)) // nothing counts against it
	is.True(!g.Pardon(PartKey("unknown"), e.now))
	is.True(peer.Merge(g.Report(e.now), e.now))
	is.Equal(len(peer.Blocking(chain, e.now)), 0)
	is.Equal(len(e.startedWith(t, e.write(t, g), time.Second).Blocking(chain, e.now)), 0)
	e.strike(g, chain, 5, 2*time.Second)
	is.True(len(g.Blocking(chain, e.now)) > 0) // later crashes count again
}
