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

// devProcess is the command "hickorybank dev", run in the test's process. guide is its output up to
// the line that ends the guide.
type devProcess struct {
	guide []string
	code  int
	err   bytes.Buffer
	wg    conc.WaitGroup
}

// startDev starts a deployment and returns when its guide has been printed.
func startDev(t *testing.T, args ...string) *devProcess {
	t.Helper()
	r := new(devProcess)
	read, write := io.Pipe()
	args = append([]string{"dev", "--listen", "127.0.0.1:0", "--admin-listen", "127.0.0.1:0", "--address-ttl", "100ms"}, args...)
	r.wg.Go(func() {
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
	r.wg.Wait()
	t.Fatal("it ended before it was ready:", r.guide, r.err.String())
	return nil
}

// stop stops the deployment with a signal, as Ctrl-C does, and waits for its end.
func (r *devProcess) stop(t *testing.T) {
	t.Helper()
	is := is.New(t)
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
	r.wg.Wait()
	is.Equal(r.code, 0)
	if r.err.Len() > 0 {
		t.Log(r.err.String())
	}
}

func (r *devProcess) line(prefix string) string {
	for _, line := range r.guide {
		if strings.HasPrefix(strings.TrimSpace(line), prefix) {
			return strings.TrimSpace(line)
		}
	}
	return ""
}

// runShell runs a printed command in a shell.
func runShell(t *testing.T, line string) string {
	t.Helper()
	if _, err := exec.LookPath("curl"); err != nil {
		return sendWithoutCurl(t, line)
	}
	out, err := exec.Command("sh", "-c", line).CombinedOutput()
	is.New(t).NoErr(err)
	return string(out)
}

// sendWithoutCurl sends the request of a curl command on a machine without curl.
func sendWithoutCurl(t *testing.T, line string) string {
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

// The commands that "hickorybank dev" prints must work as they stand. The curl command must get an
// answer, the operator's command must list the nodes, and load must get complete answers.
func TestCommandsPrintedByDevWork(t *testing.T) {
	for _, deployment := range []string{"tarifas", "sahel"} {
		t.Run(deployment, func(t *testing.T) {
			is := is.New(t)
			r := startDev(t, "--deployment", deployment, "--entries", "3")
			answer := runShell(t, r.line("curl"))
			is.True(strings.Contains(answer, `"object":"chat.completion"`))
			is.True(strings.Contains(answer, " t16 ")) // the last token

			words := strings.Fields(r.line("export"))
			for _, pair := range words[1:] {
				name, value, _ := strings.Cut(pair, "=")
				t.Setenv(name, value)
			}
			nodes := runCommand("admin", "nodes")
			is.Equal(nodes.code, 0)
			is.Equal(strings.Count(nodes.out, " live "), 3)
			preset := runCommand("admin", "preset", "peak", "--wait", "30s")
			is.Equal(preset.code, 0)
			is.True(strings.Contains(preset.out, "is in force on every node (3 of 3 confirmed)"))
			checkLoad(t, r, deployment)
			r.stop(t)
		})
	}
}

func checkLoad(t *testing.T, r *devProcess, deployment string) {
	t.Helper()
	is := is.New(t)
	words := strings.Fields(r.line("ready"))
	platform := strings.TrimSuffix(strings.Fields(r.line("platform"))[1], ",")
	plot := filepath.Join(t.TempDir(), "plot.svg")
	got := runCommand("load", "--deployment", deployment, "--entry", words[2], "--rate", "40", "--duration", "2s", "--warm-up", "500ms",
		"--direct", "--platform", platform, "--plot", plot)
	is.Equal(got.code, 0) // no answer was foreign or partial
	is.True(strings.Contains(got.out, "routed to direct, in this run"))
	info, err := os.Stat(plot)
	is.NoErr(err)
	is.True(info.Size() > 0)
}
