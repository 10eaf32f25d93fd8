package crashguard

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Fails if the request that crashes upstreams is forgotten, or the guard's memory grows, beside
// 100,000 sound requests with a key each of which some are struck by each crash.
func TestCrashingRequestIsConvictedBesideManyKeys(t *testing.T) {
	is := is.New(t)
	const (
		sound = 100_000
		// beside is the number of sound requests in progress at an upstream that crashes, period
		// the number of requests from one crash to the next.
		beside, period = 48, 1500
	)
	g, now := New(), time.Unix(1000, 0)
	crasher := Chain{RequestKey("org", "GET /records?id=bad", nil)}
	key := func(i int) Chain { return Chain{RequestKey("org", fmt.Sprint("GET /records?id=", i), nil)} }
	crashes := 0
	for i := range sound {
		now = now.Add(2 * time.Millisecond)
		g.Answered(key(i), now, now)
		if i%period != period-1 {
			continue
		}
		if len(g.Blocking(crasher, now)) == 0 {
			crashes++
			g.Strike(NewCrashID(fmt.Sprint(i)), crasher, now, now, now)
			for k := range beside { // answered elsewhere before, or not yet
				g.Strike(NewCrashID(fmt.Sprint(i)), key(i-k*20), now, now, now)
			}
		}
		is.True(len(g.keys) <= maxKeys)
		is.True(len(g.answers.current)+len(g.answers.previous) <= 2*maxAnswerKeys)
		for k := range beside {
			is.Equal(len(g.Blocking(key(i-k*20), now)), 0) // sound ones are served
		}
	}
	is.Equal(g.IsConvicted(crasher[0]) || g.quarantined[crasher[0]] != nil, true)
	is.True(crashes <= costlyStrikes)
}
