package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// lossyLinks are a node's links to upstreams. While they are lost, open connections deliver
// nothing, and new ones are refused or not answered.
type lossyLinks struct {
	mu      sync.Mutex
	lost    bool
	refuses bool
	conns   []*lossyConn
}

// lossyConn is a connection over a link that may be lost.
type lossyConn struct {
	net.Conn
	links *lossyLinks
}

// Dial connects to an upstream.
func (l *lossyLinks) Dial(ctx context.Context, addr string) (net.Conn, error) {
	l.mu.Lock()
	lost, refuses := l.lost, l.refuses
	l.mu.Unlock()
	switch {
	case lost && refuses:
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	case lost:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
	}
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, err
	}
	conn := &lossyConn{c, l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, conn)
	return conn, nil
}

// lose loses the links. If they refuse new connections, open ones are closed as well.
func (l *lossyLinks) lose(refuses bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost, l.refuses = true, refuses
	for _, c := range l.conns {
		if refuses {
			_ = c.Close() // as by a reset
		}
	}
}

func (l *lossyLinks) hangs() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost && !l.refuses
}

// Write discards bytes while the link hangs.
func (c *lossyConn) Write(p []byte) (int, error) {
	if c.links.hangs() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

const (
	// lossStable is how long after the loss of links first tries start to count, lossTime how
	// long they count.
	lossStable = 3 * time.Second
	lossTime   = 4 * time.Second
	// lossPause is the pause between two first tries at a node, lossTimeout their callers'.
	lossPause   = 40 * time.Millisecond
	lossTimeout = 3 * time.Second
)

// chatWithin sends a draft whose caller waits for a time.
func (f *fleet) chatWithin(n *Node, key string, timeout time.Duration) (reply, error) {
	return f.post(n, callerRequest{
		path: "/v1/chat/completions", key: key, body: `{"model":"dues@2","messages":[{"role":"user","content":"statement"}]}`,
		header: map[string]string{"Hickorybank-Timeout-Ms": fmt.Sprint(timeout.Milliseconds())},
	})
}

// Fails if callers of nodes that have lost their links to all upstreams are served less than two
// thirds as often as callers of other nodes, and more than 10 + 1 in 50 of all first tries fail there.
func TestNodesWithoutLinksToUpstreamsServe(t *testing.T) {
	for name, refuses := range map[string]bool{"refused": true, "hanging": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, fleetSize{nodes: 4, engines: 4, services: 2, tokens: 4, tokenGap: time.Millisecond})
			const cut = 2
			for _, l := range f.links[:cut] {
				l.lose(refuses)
			}
			from := time.Now().Add(lossStable)
			until := from.Add(lossTime)
			var mu sync.Mutex
			var sent, served [2]int // at the nodes without links, at the others
			failures := map[string]int{}
			try := func(node, k int) {
				began := time.Now()
				r, err := f.chatWithin(f.nodes[node], fmt.Sprintf("k%d-%d", node, k), lossTimeout)
				if began.Before(from) {
					return
				}
				group := min(node/cut, 1)
				mu.Lock()
				defer mu.Unlock()
				sent[group]++
				if err == nil && r.status == http.StatusOK && isComplete(r, "statement", 4) {
					served[group]++
				} else {
					failures[fmt.Sprint(node, r.status, err, r.body)]++
				}
			}
			var callers sync.WaitGroup
			for k := 0; time.Now().Before(until); k++ {
				for node := range f.nodes {
					callers.Go(func() { try(node, k) })
				}
				time.Sleep(lossPause)
			}
			callers.Wait()
			t.Logf("without links %d of %d, others %d of %d", served[0], sent[0], served[1], sent[1])
			for text, count := range failures {
				t.Logf("%d times %s", count, text)
			}
			less := 3*served[0]*sent[1] < 2*served[1]*sent[0]
			if many := sent[0]-served[0] > 10+(sent[0]+sent[1])/50; less && many || sent[0] == 0 || served[1] == 0 {
				t.Errorf("nodes without links served %d of %d first tries, the others %d of %d", served[0], sent[0], served[1], sent[1])
			}
		})
	}
}
