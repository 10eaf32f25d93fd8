package key

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func layout() Layout {
	return Layout{Shards: 4, OpaqueShards: 64, ClaimBucket: time.Minute, BillBucket: time.Hour}
}

// v7 returns a UUIDv7 with the given time in milliseconds.
func v7(ms int64, tail byte) string {
	var u uuid.UUID
	for i := range 6 {
		u[i] = byte(ms >> (8 * (5 - i)))
	}
	u[6], u[8], u[15] = 0x70, 0x80, tail
	return u.String()
}

func TestTimeOfKey(t *testing.T) {
	is := is.New(t)
	at, ok := Time(v7(1_700_000_000_123, 1))
	is.True(ok)
	is.Equal(at.UnixMilli(), int64(1_700_000_000_123))
	for _, opaque := range []string{"", "order-17", uuid.Nil.String(), "{" + v7(5, 1) + "}", "f47ac10b-58cc-4372-a567-0e02b2c3d479"} {
		_, ok := Time(opaque)
		is.True(!ok) // opaque
	}
}

func TestLogPrefixesSortByTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := layout()
		a := rapid.Int64Range(0, 1<<44).Draw(t, "a")
		b := rapid.Int64Range(a, 1<<44).Draw(t, "b")
		la := Log{Kind: Timed, Bucket: bucketAt(time.UnixMilli(a), l.ClaimBucket)}
		lb := Log{Kind: Timed, Bucket: bucketAt(time.UnixMilli(b), l.ClaimBucket)}
		if la.Prefix() > lb.Prefix() {
			t.Fatalf("%s sorts after %s", la.Prefix(), lb.Prefix())
		}
	})
}

// A retry must find the claim of the first request. If the log depended on the clock,
// a later retry would look in another log and run the work again.
func TestLocationDependsOnlyOnTheKey(t *testing.T) {
	is := is.New(t)
	l := layout()
	k := v7(1_700_000_000_123, 9)
	is.Equal(l.Claim("a", k), l.Claim("a", k))
	is.Equal(l.Claim("a", k).Bucket, int64(1_700_000_000_123/60_000))
	is.Equal(l.Claim("a", "order").Kind, Opaque)
	is.Equal(l.Bill(k, time.Now()), l.Bill(k, time.Unix(0, 0)))
	from, to := l.Span(l.Bill(k, time.Time{}))
	is.Equal(to.Sub(from), time.Hour)
	is.Equal(l.Buckets(Timed, from, to), []Bucket{l.Bill(k, time.Time{})})
}

func TestAttemptKeepsUUID(t *testing.T) {
	is := is.New(t)
	u := uuid.NewString()
	is.Equal(AttemptID(u).Attempt(), u)
	is.True(AttemptID("a") != AttemptID("b"))
}
