// Package standin runs front machines of a small deployment as separate processes, beside
// stand-ins of the platform's store, of runners and of clients, on loopback addresses.
package standin

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hickorybank/hickorybank/platform/platformtest"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Host is the host name of all routes.
const Host = "cases.example"

// Key is the API key of the only tenant.
const Key = "key-of-the-tenant"

// Record writes what was sent, answered and run, one line each. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	began time.Time
}

// NewRecord creates the record of a run.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{out: bufio.NewWriter(f), file: f, began: time.Now()}, nil
}

// Add writes a line with the time since the start in seconds.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...)) // Close reports the error
}

// Close writes the rest of the record.
func (r *Record) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return errors.Join(r.out.Flush(), r.file.Close())
}

// Machine is a front machine with one process of the system.
type Machine struct {
	Name     string
	Zone     string
	MemoryMB int
	Front    string
	Ready    string
	settings string
	ip       string
	world    *World

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	started time.Time
	// kills counts how often the process was killed for its memory; peakMB is its peak.
	kills, peakMB int
}

// World is the deployment of a case.
type World struct {
	Record   *Record
	Store    *platformtest.Store
	Machines []*Machine
	dir      string
	command  []string
	closing  chan struct{}
	loops    sync.WaitGroup
}

// NewWorld starts the store. The command starts the program of the deploy file.
func NewWorld(record *Record, command []string) (*World, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &World{Record: record, Store: platformtest.NewStore(), dir: dir, command: command, closing: make(chan struct{})}, nil
}

// settingsText follows the settings files of the users' two small deployments.
const settingsText = `node_name = %q
role = "gateway"
machine_class = "front"
serves = ["front","control","directory"]
ip = %q
zone = %q
region = "region-1"
port_range = [7340,7355]
seeds = [%s]
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","rollout"]
[zones]
%s[listen]
front = %q
ready = %q
control = %q
directory = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = %d
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_skew_ms = 5000
revoke_fail_closed = false
revoke_ms = 5000
retry_budget_ratio = 0.9
budget_window_s = 10
budget_slack = %d
expose_share = 0.15
expose_slack = 30
rollback_ms = 5000
recovery_s = 12
pass_ms = 120
reuse_window_s = 9.6
session_s = 5
ttl_max_s = 5
[platform]
address = %q
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 3.0
part_writes_per_s = 300
row_bytes = 65536
across = true
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_per_s = 80.0
`

// Site is one of the users' small deployments.
type Site struct {
	// Zones are the zones of its front machines, one each.
	Zones                 []string
	MemoryMB, BudgetSlack int
}

// Cartagena and Registre are the sites tpc-cartagena and slf-registre.
var (
	Cartagena = Site{[]string{"manga", "manga", "bocagrande", "bocagrande", "mamonal", "getsemani"}, 134, 52}
	Registre  = Site{[]string{"charguia-a", "charguia-a", "charguia-a", "charguia-b", "charguia-b", "ariana-un", "ariana-un", "ariana-deux"}, 284, 56}
)

// AddMachines adds the site's front machines, each with an address of its own.
func (w *World) AddMachines(site Site) error {
	count, memoryMB := len(site.Zones), site.MemoryMB
	zones := map[string]bool{}
	var zoneText strings.Builder
	for _, z := range site.Zones {
		if !zones[z] {
			zones[z] = true
			fmt.Fprintf(&zoneText, "%s = \"region-1\"\n", z)
		}
	}
	type ports struct{ front, ready, control, directory string }
	var all []ports
	for i := range count {
		ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%100, os.Getpid()/100%250, i+1) // runs beside this one have others
		var addrs [4]string
		for k := range addrs {
			l, err := net.Listen("tcp4", ip+":0")
			if err != nil {
				return err
			}
			defer func() { _ = l.Close() }() // kept until all ports are drawn
			addrs[k] = l.Addr().String()
		}
		all = append(all, ports{addrs[0], addrs[1], addrs[2], addrs[3]})
		w.Machines = append(w.Machines, &Machine{Name: fmt.Sprintf("front-%s-%d", site.Zones[i], i+1), Zone: site.Zones[i], MemoryMB: memoryMB, Front: addrs[0], Ready: addrs[1], ip: ip, world: w})
	}
	var seeds []string
	for i := range min(count, 3) {
		seeds = append(seeds, strconv.Quote(all[i].control))
	}
	for i, m := range w.Machines {
		p := all[i]
		m.settings = filepath.Join(w.dir, m.Name+".toml")
		text := fmt.Sprintf(settingsText, m.Name, m.ip, m.Zone, strings.Join(seeds, ","), zoneText.String(), p.front, p.ready, p.control, p.directory, memoryMB, site.BudgetSlack, w.Store.Addr())
		if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// StartAll starts the processes of all machines, and keeps restarting those that end.
func (w *World) StartAll() {
	for _, m := range w.Machines {
		w.loops.Go(m.run)
	}
}

// AwaitReady waits until all machines are ready.
func (w *World) AwaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, m := range w.Machines {
		for !m.IsReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready after %v", m.Name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Close ends all processes and removes the temporary folder.
func (w *World) Close() {
	close(w.closing)
	w.loops.Wait()
	w.Store.Close()
	_ = os.RemoveAll(w.dir) // a rest does no harm
}

// restartDelay is the short delay after which a process that has ended is started again.
const restartDelay = 500 * time.Millisecond

// run runs the machine's process, as the platform does: it is killed once it exceeds its memory,
// and started again after it has ended.
func (m *Machine) run() {
	for {
		m.runOnce()
		if err := m.endBootstrap(); err != nil {
			m.world.Record.Add("%s: settings of a restart: %v", m.Name, err)
		}
		select {
		case <-m.world.closing:
			return
		case <-time.After(restartDelay):
		}
	}
}

// endBootstrap changes the settings for a restart: bootstrap is set only when the whole system
// starts for the first time.
func (m *Machine) endBootstrap() error {
	text, err := os.ReadFile(m.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(m.settings, []byte(strings.Replace(string(text), "bootstrap = true", "bootstrap = false", 1)), 0o600)
}

// memoryInterval is the pause between two looks at a process's memory.
const memoryInterval = 10 * time.Millisecond

func (m *Machine) runOnce() {
	cmd := exec.Command(m.world.command[0], m.world.command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HICKORYBANK_SETTINGS=" + m.settings}
	log, err := os.OpenFile(filepath.Join(m.world.dir, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err == nil {
		cmd.Stdout, cmd.Stderr = log, log
		defer func() { _ = log.Close() }() // the log of a case only
	}
	if err := cmd.Start(); err != nil {
		m.world.Record.Add("%s does not start: %v", m.Name, err)
		return
	}
	done := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.done, m.started = cmd, done, time.Now()
	m.mu.Unlock()
	m.world.Record.Add("%s process started", m.Name)
	go func() {
		_ = cmd.Wait() // the record has the way in which it ended
		close(done)
	}()
	ticker := time.NewTicker(memoryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			m.world.Record.Add("%s process ended: %s", m.Name, cmd.ProcessState)
			return
		case <-m.world.closing:
			_ = cmd.Process.Kill() // it may have ended
			<-done
			return
		case <-ticker.C:
			m.checkMemory(cmd)
		}
	}
}

// checkMemory kills a process that exceeds its memory.
func (m *Machine) checkMemory(cmd *exec.Cmd) {
	mb := residentMB(cmd.Process.Pid)
	m.mu.Lock()
	m.peakMB = max(m.peakMB, mb)
	m.mu.Unlock()
	if mb <= m.MemoryMB {
		return
	}
	m.mu.Lock()
	m.kills++
	m.mu.Unlock()
	m.world.Record.Add("%s process uses %d MB of %d MB: killed", m.Name, mb, m.MemoryMB)
	_ = cmd.Process.Kill() // it may have ended
}

// residentMB returns the memory that a process has in use, in MiB; 0 if it has ended.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}

// Memory returns how often the process was killed for its memory, and its peak.
func (m *Machine) Memory() (kills, peakMB int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.kills, m.peakMB
}

// RunningSince returns when the machine's process was started last.
func (m *Machine) RunningSince() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.started
}

// Signal sends a signal to the machine's process.
func (m *Machine) Signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil && m.cmd.Process != nil {
		m.world.Record.Add("%s gets signal %v", m.Name, s)
		_ = m.cmd.Process.Signal(s) // it may have ended
	}
}

// AwaitEnd waits until the process that runs now has ended.
func (m *Machine) AwaitEnd() {
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	if done != nil {
		<-done
	}
}

// IsReady asks the machine's readiness check.
func (m *Machine) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.Ready + "/v1/readyz")
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}
