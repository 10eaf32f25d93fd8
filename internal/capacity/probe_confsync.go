package capacity

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/archive"
	"github.com/hickorybank/hickorybank/internal/confsync"
	"github.com/hickorybank/hickorybank/internal/platform"
)

var nodeCounts = []int{8, 32, 128, 1600}

func confsyncProbes() []Probe {
	return append(confsyncCalls(), confsyncFleets()...)
}

// confsyncFleets measure whole nodes and the deltas of changes.
func confsyncFleets() []Probe {
	return []Probe{
		{
			Slope: Slope{Name: "confsync.fleet", What: "a second of all nodes that keep a configuration fresh, over loopback", Per: "entry nodes in one process", Unit: Nanoseconds},
			Sizes: []int{2, 8, 32, 128}, QuickSizes: []int{2, 8}, Measure: measureConfigFleet,
		},
		{
			Slope: Slope{Name: "confsync.fleet.bytes", What: "what they send in a second", Per: "entry nodes in one process", Unit: Bytes},
			Sizes: []int{8, 32}, QuickSizes: []int{2, 8}, Measure: measureConfigFleetBytes,
		},
		{
			Slope: Slope{Name: "config.delta.bytes", What: "a change of one organisation as a delta", Per: "organisations", Unit: Bytes},
			Sizes: orgCounts, QuickSizes: []int{10, 100}, Measure: func(_ Meter, orgs int) (float64, error) {
				_, d, err := deltaOf(orgs)
				return float64(len(d.Edits)), err
			},
		},
		{
			Slope: Slope{Name: "config.delta", What: "that delta applied to the encoded document", Per: "organisations", Unit: Nanoseconds},
			Sizes: orgCounts, QuickSizes: []int{10, 100}, Measure: func(m Meter, orgs int) (float64, error) {
				before, d, err := deltaOf(orgs)
				return applyDelta(m, before, d, err)
			},
		},
		{
			Slope: Slope{Name: "list.delta.bytes", What: "one VM gone and one come as a delta of the list", Per: "VMs", Unit: Bytes},
			Sizes: fleetSizes, QuickSizes: []int{24, 2500}, Measure: func(_ Meter, vms int) (float64, error) {
				_, d, err := listDeltaOf(vms)
				return float64(len(d.Edits)), err
			},
		},
		{
			Slope: Slope{Name: "list.delta", What: "that delta applied to the encoded list", Per: "VMs", Unit: Nanoseconds},
			Sizes: fleetSizes, QuickSizes: []int{24, 2500}, Measure: func(m Meter, vms int) (float64, error) {
				before, d, err := listDeltaOf(vms)
				return applyDelta(m, before, d, err)
			},
		},
	}
}

func applyDelta(m Meter, before []byte, d archive.Delta, err error) (float64, error) {
	if err != nil {
		return 0, err
	}
	v := m.CPU(func(n int) {
		for range n {
			if _, failed := d.Apply(before); failed != nil {
				err = failed
			}
		}
	})
	return v, err
}

func measureConfigFleet(m Meter, nodes int) (float64, error) {
	f, err := newConfigFleet(nodes, false)
	if err != nil {
		return 0, err
	}
	defer f.close()
	return m.PerSecond(), nil
}

func measureConfigFleetBytes(m Meter, nodes int) (float64, error) {
	f, err := newConfigFleet(nodes, true)
	if err != nil {
		return 0, err
	}
	defer f.close()
	return m.increasePerSecond(func() float64 { return float64(f.bytes()) }), nil
}

func confsyncCalls() []Probe {
	return []Probe{
		{
			Slope: Slope{Name: "confsync.wait", What: "a held call of a child and its answer over net/rpc, both ends", Per: "stops told of in it", Unit: Nanoseconds},
			Sizes: []int{0, 8, 64}, QuickSizes: []int{0, 8}, Measure: func(m Meter, n int) (float64, error) { return waitExchange(n).processor(m) },
		},
		{
			Slope: Slope{Name: "confsync.wait.bytes", What: "a held call of a child and its answer", Per: "stops told of in it", Unit: Bytes},
			Sizes: []int{0, 8, 64}, QuickSizes: []int{0, 8}, Measure: func(_ Meter, n int) (float64, error) { return waitExchange(n).bytes() },
		},
		{
			Slope: Slope{Name: "confsync.step", What: "a cycle of the core: a call made and answered, a child's call held and answered, a tick", Per: "entry nodes", Unit: Nanoseconds},
			Sizes: nodeCounts, QuickSizes: []int{8, 128}, Measure: measureCoreCycle,
		},
		{
			Slope: Slope{Name: "confsync.members", What: "a new list of members in the core", Per: "entry nodes", Unit: Nanoseconds},
			Sizes: nodeCounts, QuickSizes: []int{8, 128}, Measure: measureCoreMembers,
		},
		{
			Slope: Slope{Name: "confsync.heap", What: "the heap of the core", Per: "entry nodes", Unit: Bytes},
			Sizes: nodeCounts, QuickSizes: []int{8, 128}, Measure: func(m Meter, n int) (float64, error) {
				return m.Heap(func() any { return newCore(fleet(n, 0, domainsOf(n))) }), nil
			},
		},
		{
			Slope: Slope{Name: "confsync.survey", What: "a failure domain's answer to a survey over net/rpc, both ends", Per: "nodes in the failure domain", Unit: Nanoseconds},
			Sizes: []int{2, 8, 42}, QuickSizes: []int{2, 42}, Measure: func(m Meter, n int) (float64, error) { return surveyExchange(n).processor(m) },
		},
		{
			Slope: Slope{Name: "confsync.survey.bytes", What: "a failure domain's answer to a survey", Per: "nodes in the failure domain", Unit: Bytes},
			Sizes: []int{2, 8, 42}, QuickSizes: []int{2, 42}, Measure: func(_ Meter, n int) (float64, error) { return surveyExchange(n).bytes() },
		},
	}
}

// configReceiver answers like a parent with a prepared reply.
type configReceiver struct {
	wait   confsync.WaitReply
	survey confsync.SurveyReply
}

// Wait returns the prepared reply to a child.
func (c configReceiver) Wait(_ confsync.WaitArgs, reply *confsync.WaitReply) error {
	*reply = c.wait
	return nil
}

// Survey returns the prepared reply to a peer.
func (c configReceiver) Survey(_ confsync.SurveyArgs, reply *confsync.SurveyReply) error {
	*reply = c.survey
	return nil
}

func waitExchange(stops int) exchange {
	notices := make([]confsync.Notice, stops)
	for i, name := range nodeNames(stops) {
		notices[i] = confsync.Notice{ID: name, Boot: 1_800_000_000, Leaving: true, Age: time.Minute}
	}
	args := confsync.WaitArgs{
		From: confsync.Notice{ID: "entry-00001", Boot: 1_800_000_000}, Revision: 123_456, Hold: true,
		ListDigest: splitMix64(1), ListAge: 1500 * time.Millisecond, Notices: notices,
	}
	reply := confsync.WaitReply{
		Revision: 123_456, Table: confsync.SentProof{Revision: 123_456, Age: 345 * time.Millisecond, Valid: true},
		ListDigest: splitMix64(1), ListAge: 1400 * time.Millisecond,
	}
	return exchange{
		name: confsync.ServiceName, receiver: configReceiver{wait: reply}, method: "Wait", args: args,
		reply: func() any { return new(confsync.WaitReply) },
	}
}

func surveyExchange(nodes int) exchange {
	var reply confsync.SurveyReply
	for _, name := range nodeNames(nodes) {
		reply.Nodes = append(reply.Nodes, confsync.NodeStatus{ID: name, Revision: 123_456, Confirmed: 123_456, Fewest: 1590, Age: 20 * time.Millisecond})
	}
	return exchange{
		name: confsync.ServiceName, receiver: configReceiver{survey: reply}, method: "Survey", args: confsync.SurveyArgs{Domain: true},
		reply: func() any { return new(confsync.SurveyReply) },
	}
}

func newCore(vms []platform.VM) *confsync.Core {
	c := confsync.NewCore(confsync.Settings{Seed: 1}, vms[0], 1, 0)
	c.Step(0, confsync.MembersChanged{VMs: vms})
	return c
}

// measureCoreCycle has a node that is not a reader pull from its parent and hold a child's call, at
// the rate of the default settings.
func measureCoreCycle(m Meter, nodes int) (float64, error) {
	vms := fleet(nodes, 0, domainsOf(nodes))
	c := newCore(vms)
	now := time.Second
	answer := func(list []confsync.Decision) {
		// A step's decisions are valid only until the next step.
		for _, d := range append([]confsync.Decision(nil), list...) {
			react(c, now, d)
		}
	}
	return m.CPU(func(n int) {
		for range n {
			now += 800 * time.Millisecond
			answer(c.Step(now, confsync.WaitRequested{Token: 1, Args: confsync.WaitArgs{From: confsync.Notice{ID: "entry-00001"}, Revision: 1, Hold: true}}))
			answer(c.Step(now, confsync.Tick{}))
		}
	}), nil
}

// react simulates the parent and the table.
func react(c *confsync.Core, now time.Duration, d confsync.Decision) {
	switch d := d.(type) {
	case confsync.ReadHead:
		c.Step(now, confsync.HeadRead{Token: d.Token, Revision: 1})
	case confsync.ReadList:
		c.Step(now, confsync.ListRead{Token: d.Token, Digest: 1})
	case confsync.Fetch:
		c.Step(now, confsync.Applied(d))
	case confsync.Wait:
		c.Step(now, confsync.WaitReplied{Token: d.Token, Reply: confsync.WaitReply{
			Revision: 1, Table: confsync.SentProof{Revision: 1, Age: 100 * time.Millisecond, Valid: true},
		}})
	}
}

func measureCoreMembers(m Meter, nodes int) (float64, error) {
	vms := fleet(nodes, 0, domainsOf(nodes))
	c := newCore(vms)
	return m.CPU(func(n int) {
		for range n {
			c.Step(time.Second, confsync.MembersChanged{VMs: vms})
		}
	}), nil
}
