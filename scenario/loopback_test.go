package scenario

import (
	"fmt"
	"os"
	"sync/atomic"
)

// processes counts what this test has started.
var processes atomic.Uint32

// freshListen is a free port at a loopback address that nothing else of this
// test listens at, as each VM has an address of its own.
//
// It guards against callers and nodes that know the address of a process which
// is gone. At a shared address its port may be taken by a relay, another
// process, or another test of this machine, and these answer.
func freshListen() string {
	const lasts, blocks = 250, 200
	n := processes.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:0", 2+os.Getpid()%lasts, 2+n/lasts%blocks, 2+n%lasts)
}
