package duty

import (
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const childVariable = "DUTY_TEST_CHILD"

// A node goes on serving without its configuration duty. A broken invariant
// panics there, and the group keeps the panic until the node is stopped, hours
// later. The cause would be a recover that nobody looks at: the process must
// end at once and name the panic.
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

func TestWaitWaitsForAll(t *testing.T) {
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
