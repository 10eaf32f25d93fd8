package cli

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

// running is "hickorybank dev" in this process.
type running struct {
	guide []string
	code  int
	err   bytes.Buffer
	all   conc.WaitGroup
}

// startDev runs a deployment until its guide is printed.
func startDev(t *testing.T, args ...string) *running {
	t.Helper()
	r := new(running)
	read, write := io.Pipe()
	args = append([]string{"dev", "--listen", "127.0.0.1:0", "--admin-listen", "127.0.0.1:0", "--address-ttl", "100ms"}, args...)
	r.all.Go(func() {
		r.code = Main(args, write, &r.err)
		_ = write.Close()
	})
	scanner := bufio.NewScanner(read)
	for scanner.Scan() {
		r.guide = append(r.guide, scanner.Text())
		if strings.HasPrefix(scanner.Text(), "Ctrl-C") {
			return r
		}
	}
	r.all.Wait()
	t.Fatal("it ended before it was ready:", r.guide, r.err.String())
	return nil
}

// stop tells the deployment to stop, as Ctrl-C does, and waits for its end.
func (r *running) stop(t *testing.T) {
	t.Helper()
	is := is.New(t)
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
	r.all.Wait()
	is.Equal(r.code, 0)
	if r.err.Len() > 0 {
		t.Log(r.err.String())
	}
}

func (r *running) line(prefix string) string {
	for _, line := range r.guide {
		if strings.HasPrefix(strings.TrimSpace(line), prefix) {
			return strings.TrimSpace(line)
		}
	}
	return ""
}

// shell runs a printed command, as a newcomer who pastes it.
func shell(t *testing.T, line string) string {
	t.Helper()
	if _, err := exec.LookPath("curl"); err != nil {
		return withoutCurl(t, line)
	}
	out, err := exec.Command("sh", "-c", line).CombinedOutput()
	is.New(t).NoErr(err)
	return string(out)
}

// withoutCurl does what curl would, on a machine that has none.
func withoutCurl(t *testing.T, line string) string {
	t.Helper()
	is := is.New(t)
	quoted := strings.Split(line, "'") // curl -s URL -H 'KEY' -d 'BODY'
	req, err := http.NewRequest(http.MethodPost, strings.Fields(quoted[0])[2], strings.NewReader(quoted[3]))
	is.NoErr(err)
	name, value, _ := strings.Cut(quoted[1], ": ")
	req.Header.Set(name, value)
	transport := new(http.Transport)
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	is.NoErr(err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	return string(body)
}

// A newcomer starts the example, pastes what it prints and reads on. The curl
// line must be answered, the operator's line must list the nodes, and load
// must come through whole.
func TestDevDoesWhatItPrints(t *testing.T) {
	for _, deployment := range []string{"tarifas", "sahel"} {
		t.Run(deployment, func(t *testing.T) {
			is := is.New(t)
			r := startDev(t, "--deployment", deployment, "--entries", "3")
			answer := shell(t, r.line("curl"))
			is.True(strings.Contains(answer, `"object":"chat.completion"`))
			is.True(strings.Contains(answer, " t16 ")) // the last piece

			words := strings.Fields(r.line("export"))
			for _, pair := range words[1:] {
				name, value, _ := strings.Cut(pair, "=")
				t.Setenv(name, value)
			}
			nodes := call("admin", "nodes")
			is.Equal(nodes.code, 0)
			is.Equal(strings.Count(nodes.out, " live "), 3)
			preset := call("admin", "preset", "peak", "--wait", "30s")
			is.Equal(preset.code, 0)
			is.True(strings.Contains(preset.out, "is in force on every node (3 of 3 confirmed)"))
			smallLoad(t, r, deployment)
			r.stop(t)
		})
	}
}

func smallLoad(t *testing.T, r *running, deployment string) {
	t.Helper()
	is := is.New(t)
	words := strings.Fields(r.line("ready"))
	platform := strings.TrimSuffix(strings.Fields(r.line("platform"))[1], ",")
	plot := filepath.Join(t.TempDir(), "plot.svg")
	got := call("load", "--deployment", deployment, "--entry", words[2], "--rate", "40", "--duration", "2s", "--warm-up", "500ms",
		"--direct", "--platform", platform, "--plot", plot)
	is.Equal(got.code, 0) // no answer was foreign or partial
	is.True(strings.Contains(got.out, "routed to direct, in this run"))
	info, err := os.Stat(plot)
	is.NoErr(err)
	is.True(info.Size() > 0)
}
