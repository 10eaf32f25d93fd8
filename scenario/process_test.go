package scenario

import (
	"bufio"
	"bytes"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// limit is how long a scenario waits for anything; ample, so that a slow
// machine does not fail it.
const limit = 30 * time.Second

// faults of a process that its log shows; none may appear.
var brokenMarks = [][]byte{[]byte("WARNING: DATA RACE"), []byte("panic: "), []byte("fatal error: ")}

// process is one running process of the product.
type process struct {
	id    string
	cmd   *exec.Cmd
	stdin io.Closer
	log   string // file
	addrs addresses
	entry bool // node, not a stand-in
	ended chan struct{}
}

// sessionKey signs the session tokens of every entry node of a scenario.
const sessionKey = "HICKORYBANK_SESSION_KEY=" +
	"6b6579206f66207363656e6172696f73206f6e6c79206b657920736365732e2e"

// startProcess starts the product and waits for its ready line.
func startProcess(dir, id string, args ...string) (*process, error) {
	p := &process{id: id, log: filepath.Join(dir, id+".log"), ended: make(chan struct{}), entry: args[0] == "entry"}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd = exec.Command(binary, args...)
	p.cmd.Env = append(os.Environ(), guardVariable+"=1", sessionKey)
	p.cmd.Stderr = log
	if p.stdin, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	return p, p.awaitReady(out)
}

func (p *process) awaitReady(out io.Reader) error {
	lines := make(chan string, 1)
	go p.follow(out, lines)
	select {
	case line := <-lines:
		p.addrs = parseReady(line)
		return nil
	case <-p.ended:
		return eris.Errorf("%s ended before it was ready:\n%s", p.id, p.tail())
	case <-time.After(limit):
		return eris.Errorf("%s is not ready after %s:\n%s", p.id, limit, p.tail())
	}
}

// follow passes the ready line on, drains the rest and reaps the process.
func (p *process) follow(out io.Reader, lines chan<- string) {
	scanner := bufio.NewScanner(out)
	for scanner.Scan() {
		if strings.HasPrefix(scanner.Text(), "ready ") {
			lines <- scanner.Text()
			break
		}
	}
	_, _ = io.Copy(io.Discard, out)
	_ = p.cmd.Wait()
	close(p.ended)
}

func (p *process) signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// kill ends the process at once and waits until it is gone.
func (p *process) kill() {
	_ = p.signal(syscall.SIGKILL)
	<-p.ended
	_ = p.stdin.Close()
}

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// upstream says whether this is a stand-in upstream.
func (p *process) upstream() bool { return p.id != platformID && p.addrs.Faults != "" }

// exitCode is that of an ended process; -1 when a signal ended it.
func (p *process) exitCode() int { return p.cmd.ProcessState.ExitCode() }

func (p *process) output() []byte {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return []byte(err.Error())
	}
	return data
}

func (p *process) tail() string {
	const most = 4000
	data := p.output()
	return string(data[max(0, len(data)-most):])
}

// broken reports a data race or a panic in the process.
func (p *process) broken() error {
	data := p.output()
	for _, mark := range brokenMarks {
		if i := bytes.Index(data, mark); i >= 0 {
			return eris.Errorf("%s: %s", p.id, data[i:min(len(data), i+3000)])
		}
	}
	return nil
}
