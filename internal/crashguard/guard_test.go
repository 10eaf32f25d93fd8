package crashguard

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A request that crashes one upstream after the other is blocked. Strikes from several
// nodes add up, and the third one blocks the request. A request that ran beside it once
// is not blocked.
func TestRequestIsBlockedAfterThreeCrashes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	here, there := New(), New()
	crasher, bystander := Fingerprint("org", "/a", []byte("x")), Fingerprint("org", "/a", []byte("y"))
	is.True(here.Add(Strike{Fingerprint: crasher, Upstream: "i-1"}, now))
	is.True(!here.Add(Strike{Fingerprint: crasher, Upstream: "i-1"}, now)) // a duplicate of the same crash
	is.True(here.Add(Strike{Fingerprint: bystander, Upstream: "i-1"}, now))
	is.True(there.Add(Strike{Fingerprint: crasher, Upstream: "i-2"}, now))
	for _, s := range here.Recent(now) {
		there.Add(s, now)
	}
	is.True(!there.Blocked(crasher))
	is.True(there.Add(Strike{Fingerprint: crasher, Upstream: "i-3"}, now))
	is.True(there.Blocked(crasher))
	is.Equal(there.Strikes(crasher), 3)
	is.True(!there.Blocked(bystander))
}

// Memory and messages stay bounded: strikes expire, and the numbers stored and sent are
// limited.
func TestStrikesExpireAndAreBounded(t *testing.T) {
	is := is.New(t)
	g := New()
	now := time.Unix(1000, 0)
	for i := range maxStored + 10 {
		g.Add(Strike{Fingerprint: uint64(i), Upstream: "i-1"}, now)
	}
	is.Equal(len(g.strikes), maxStored)
	is.Equal(len(g.Recent(now)), maxSent)
	is.Equal(len(g.Recent(now.Add(strikeTTL+time.Second))), 0)
	is.Equal(len(g.counts), 0)
	is.True(!g.Add(Strike{Fingerprint: 1, Upstream: "i-1", Age: strikeTTL + 1}, now))
}

// Fingerprints do not collide: requests that differ in organisation, path or body have
// different ones.
func TestDifferentRequestsHaveDifferentFingerprints(t *testing.T) {
	is := is.New(t)
	seen := map[uint64]string{}
	for _, org := range []string{"", "a", "ab"} {
		for _, path := range []string{"", "a", "b"} {
			for _, body := range []string{"", "a", "\x00"} {
				fingerprint := Fingerprint(org, path, []byte(body))
				name := fmt.Sprintf("%q %q %q", org, path, body)
				is.Equal(seen[fingerprint], "") // no other request has this fingerprint
				seen[fingerprint] = name
			}
		}
	}
}
