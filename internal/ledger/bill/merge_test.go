package bill

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const window = 24 * time.Hour

func drawBill(t *rapid.T) Bill {
	return Bill{
		Org:         rapid.SampledFrom([]string{"a", "b"}).Draw(t, "org"),
		Key:         rapid.SampledFrom([]string{"k", "l", "018bcfe5-687b-7000-8000-000000000001", "f47ac10b-58cc-4372-a567-0e02b2c3d479", "F47AC10B-58CC-4372-A567-0E02B2C3D479"}).Draw(t, "key"),
		Service:     rapid.SampledFrom([]string{"", "ocr"}).Draw(t, "service"),
		Digest:      rapid.SampledFrom([]uint64{0, 1, 1 << 63}).Draw(t, "digest"),
		Class:       rapid.SampledFrom([]string{"heavy", ""}).Draw(t, "class"),
		Version:     rapid.String().Draw(t, "version"),
		Cost:        rapid.Int64().Draw(t, "cost"),
		InputTokens: rapid.Int64Range(0, 1000).Draw(t, "in"),
		At:          time.UnixMilli(rapid.Int64Range(0, 3*window.Milliseconds()).Draw(t, "at")).UTC(),
	}
}

func TestColumnsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		bills := rapid.SliceOfN(rapid.Custom(drawBill), 1, 20).Draw(t, "bills")
		row := Row{Bills: Pack(bills)}
		data, err := row.Encode()
		is.NoErr(err)
		back, err := Decode(data)
		is.NoErr(err)
		is.Equal(back, bills)
	})
}

// Two readers of the same rows, in another order, must agree on what is
// billed: an organisation would see its total change from node to node.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		bills := rapid.SliceOfN(rapid.Custom(drawBill), 0, 20).Draw(t, "bills")
		other := rapid.Permutation(slices.Clone(bills)).Draw(t, "other")
		again := append(slices.Clone(other), bills...)
		want := Merge(bills, window)
		is.Equal(Merge(other, window), want)
		is.Equal(Merge(again, window), want) // all of it written twice
	})
}

// A request is billed at one node, and again at another with another amount,
// since its caller sent it twice. The first one counts. An opaque key that
// comes again after the window is other work, and another bill.
func TestFirstBillCounts(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0).UTC()
	timed := "018bcfe5-687b-7000-8000-000000000001"
	first := Bill{Org: "a", Key: timed, Cost: 7, At: at}
	second := Bill{Org: "a", Key: timed, Cost: 3, At: at.Add(30 * time.Hour)}
	is.Equal(Merge([]Bill{second, first}, window), []Bill{first})
	first.Key, second.Key = "order", "order"
	is.Equal(len(Merge([]Bill{second, first}, window)), 2)
	second.At = at.Add(24 * time.Hour)
	is.Equal(Merge([]Bill{second, first}, window), []Bill{first})
	second.Org = "b"
	is.Equal(len(Merge([]Bill{second, first}, window)), 2) // another organisation
}

// A caller sends a chat request again with the same key and another body. It
// runs again, and its answer was free: the bill was that of the key. Now each
// body has its bill, and a retry with the same body is still one. Nodes that do
// not know digests yet may have billed either; that does not bill it twice.
func TestAnotherBodyIsAnotherBill(t *testing.T) {
	for _, k := range []string{"018bcfe5-687b-7000-8000-000000000001", "order"} {
		is := is.New(t)
		at := time.Unix(1000, 0).UTC()
		first := Bill{Org: "a", Key: k, Digest: 5, Cost: 7, At: at}
		again, other := first, first
		again.At, again.Cost = at.Add(time.Minute), 8
		other.At, other.Digest, other.Cost = at.Add(time.Second), 6, 2
		is.Equal(Merge([]Bill{again, other, first}, window), []Bill{first, other})
		old := first
		old.Digest, old.At = 0, at.Add(-time.Minute)
		is.Equal(Merge([]Bill{old, again, other, first}, window), []Bill{first, other})
		is.Equal(Merge([]Bill{old}, window), []Bill{old})
		claimed := old
		claimed.Service = "ocr" // another request, whose claim tells its bodies apart
		is.Equal(Merge([]Bill{first, claimed}, window), []Bill{claimed, first})
	}
}

// An opaque key is repeated after 20 hours and after 40, which is one bill. The
// first two were folded into one object without the second, and then the third
// counted anew.
func TestDistinctLeavesRepetitionsToMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		some := rapid.SliceOfN(rapid.Custom(drawBill), 0, 20).Draw(t, "some")
		others := rapid.SliceOfN(rapid.Custom(drawBill), 0, 20).Draw(t, "others")
		want := Merge(slices.Concat(some, others), window)
		is.Equal(Merge(append(Distinct(slices.Concat(some, some)), others...), window), want)
	})
}

func FuzzDecode(f *testing.F) {
	row := Row{Bills: Pack([]Bill{{Org: "o", Key: "k", Cost: 3}, {Digest: 9, Org: "p", Key: "f47ac10b-58cc-4372-a567-0e02b2c3d479"}})}
	data, err := row.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		bills, err := Decode(data)
		if err != nil {
			return
		}
		c := Pack(bills)
		if back, err := c.Unpack(); err != nil || len(back) != len(bills) {
			t.Fatalf("decoded bills do not pack: %v", err)
		}
	})
}
