package duty

import (
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const childVariable = "DUTY_TEST_CHILD"

// If a background goroutine panics, the process must end at once and print the panic. A
// recovered panic that is only returned by Wait stays unnoticed until the node is
// stopped, and the node keeps serving without that goroutine.
func TestPanicEndsTheProcess(t *testing.T) {
	if os.Getenv(childVariable) != "" {
		var g Group
		g.Go(func() { panic("invariant broken") })
		select {}
	}
	is := is.New(t)
	child := exec.Command(os.Args[0], "-test.run=TestPanicEndsTheProcess")
	child.Env = append(os.Environ(), childVariable+"=1")
	out, err := child.CombinedOutput()
	is.True(err != nil)
	is.True(strings.Contains(string(out), "invariant broken"))
}

// Wait returns only when no goroutine runs any more.
func TestWaitBlocksUntilAllGoroutinesReturn(t *testing.T) {
	var g Group
	release := make(chan struct{})
	done := false
	g.Go(func() {
		<-release
		done = true
	})
	close(release)
	g.Wait()
	is.New(t).True(done)
}
