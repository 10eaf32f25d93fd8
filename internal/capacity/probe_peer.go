package capacity

import (
	"context"

	"github.com/hickorybank/hickorybank/internal/confsync"
	"github.com/hickorybank/hickorybank/internal/peer"
)

func peerProbes() []Probe {
	return []Probe{{
		Slope: Slope{Name: "peer.connection.heap", What: "the heap and stacks of connections between peers that have carried a call, both ends", Per: "connections", Unit: Bytes},
		Sizes: []int{8, 32, 128}, QuickSizes: []int{8, 32}, Measure: measureConnections,
	}}
}

// measureConnections calls one server from n pools, each over its own connection.
func measureConnections(_ Meter, n int) (float64, error) {
	e := waitExchange(0)
	server := peer.NewServer()
	if err := server.Register(e.name, e.receiver); err != nil {
		return 0, err
	}
	if err := server.Start("127.0.0.1:0"); err != nil {
		return 0, err
	}
	pools := make([]*peer.Pool, n)
	for i := range pools {
		pools[i] = peer.NewPool()
	}
	defer server.Close()
	defer func() {
		for _, p := range pools {
			p.Close()
		}
	}()
	before := heapAndStacks()
	for _, p := range pools {
		if err := p.Call(context.Background(), server.Addr(), e.name+"."+e.method, e.args, new(confsync.WaitReply)); err != nil {
			return 0, err
		}
	}
	return heapAndStacks() - before, nil
}
