package duty

import (
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const childVariable = "DUTY_TEST_CHILD"

// Guards against a node that keeps serving after one of its background goroutines
// panicked. A recovered panic that is only returned by Wait stays unnoticed until the
// node is stopped. The process must end at once and print the panic.
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

// Guards against Wait returning while a goroutine still runs.
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
