package scenario

import (
	"fmt"
	"os"
	"sync/atomic"
)

// processes counts the listen addresses that this test has allocated.
var processes atomic.Uint32

// uniqueListen returns port 0 on a loopback address that no other process of this test uses,
// since each VM has its own address.
//
// On a shared address, a relay, another process or another test may reuse the port of a
// process that has exited. Callers and nodes with the stale address then get answers from it.
func uniqueListen() string {
	const lasts, blocks = 250, 200
	n := processes.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:0", 2+os.Getpid()%lasts, 2+n/lasts%blocks, 2+n%lasts)
}
