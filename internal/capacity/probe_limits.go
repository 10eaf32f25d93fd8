package capacity

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/admission"
)

// limitProbes measure the exchange of organisations' rate limits between nodes.
func limitProbes() []Probe {
	sizes := []int{1, 8, 32, 128}
	return []Probe{
		{
			Slope: Slope{Name: "limits.exchange", What: "a summary and its grant over net/rpc, both ends", Per: "organisations in it", Unit: Nanoseconds},
			Sizes: sizes, QuickSizes: []int{1, 32}, Measure: func(m Meter, n int) (float64, error) { return limitExchange(n).processor(m) },
		},
		{
			Slope: Slope{Name: "limits.exchange.bytes", What: "a summary and its grant", Per: "organisations in it", Unit: Bytes},
			Sizes: sizes, QuickSizes: []int{1, 32}, Measure: func(_ Meter, n int) (float64, error) { return limitExchange(n).bytes() },
		},
	}
}

// limitReceiver answers like the holder of organisations.
type limitReceiver struct{ grant admission.Grant }

// Summarise returns the prepared grant.
func (l limitReceiver) Summarise(_ admission.Summary, reply *admission.Grant) error {
	*reply = l.grant
	return nil
}

func limitExchange(orgs int) exchange {
	s := admission.Summary{From: "entry-00000", To: "entry-00001", Seq: uint64(start.UnixNano())}
	g := admission.Grant{From: "entry-00001", Seq: s.Seq, Valid: 5 * time.Second}
	for i := range orgs {
		rate := float64(splitMix64(uint64(i))%100_000) / 7
		s.Demands = append(s.Demands, admission.Demand{Org: orgName(i), PerSecond: rate, Held: rate / 3, HeldSeq: s.Seq - 1})
		g.Shares = append(g.Shares, admission.Share{Org: orgName(i), PerSecond: rate / 3})
	}
	return exchange{
		name: "Limits", receiver: limitReceiver{grant: g}, method: "Summarise", args: s,
		reply: func() any { return new(admission.Grant) },
	}
}
