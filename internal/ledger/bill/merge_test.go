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

// Readers that get the same rows in different order must return the same bills.
// Otherwise an organisation's total would differ from node to node.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		bills := rapid.SliceOfN(rapid.Custom(drawBill), 0, 20).Draw(t, "bills")
		other := rapid.Permutation(slices.Clone(bills)).Draw(t, "other")
		again := append(slices.Clone(other), bills...)
		want := Merge(bills, window)
		is.Equal(Merge(other, window), want)
		is.Equal(Merge(again, window), want) // with each bill written twice
	})
}

// A caller sends a request twice, and two nodes bill it with different amounts. Only the
// first bill counts. An opaque key that is used again after the window is other work and
// must have its own bill.
func TestOnlyFirstOfDuplicateBillsCounts(t *testing.T) {
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

// A caller sends a chat request again with the same key and another body, and it runs
// again. If bills were merged by key alone, the second answer would be free. A retry with
// the same body must still be billed once, also if an older node billed it without a
// digest.
func TestEachBodyOfAKeyIsBilledOnce(t *testing.T) {
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

// An opaque key is used at 0, 20 and 40 hours, which makes one bill with a window of 24
// hours. If compaction removed the second bill as a duplicate, the third would count as a
// new bill, because it is 40 hours after the first.
func TestDistinctDoesNotChangeTheResultOfMerge(t *testing.T) {
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
