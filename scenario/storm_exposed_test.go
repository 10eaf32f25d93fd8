package scenario

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// mostLosses is how many VMs may be lost while bills are held by peers: a
	// bill is in the memory of three VMs then, and is lost with the third.
	mostLosses = 2
	// handover is the time after which bills whose owner was lost have been
	// taken over and written by whoever held them, if the store takes them.
	handover = 12 * time.Second
)

const (
	heldMetric   = "hickorybank_bills_held"
	metricsLimit = time.Second
	metricsPath  = "/metrics" // needs no key
)

var metricsClient = &http.Client{Timeout: metricsLimit}

// mayLose says whether another entry may be lost now, and counts it. What was
// lost before does not matter any more when nothing is held for it.
func (s *storm) mayLose() bool {
	now := time.Now()
	settled := now.Sub(s.lost) > handover && now.Sub(s.struck) > handover
	if settled || !s.exposed() {
		s.losses = 0
	}
	if s.losses >= mostLosses {
		return false
	}
	s.losses++
	s.lost = now
	return true
}

// exposed says whether some entry holds bills for others, or may.
func (s *storm) exposed() bool {
	for _, e := range s.entries {
		p, err := s.cluster.process(e.id)
		if err != nil || s.cluster.isFrozen(e.id) {
			return true
		}
		if held, err := fetchMetric(p.addrs.Admin, heldMetric); err != nil || held > 0 {
			return true
		}
	}
	return false
}

// fetchMetric reads one metric without labels; 0 if it is not there.
func fetchMetric(addr, name string) (float64, error) {
	resp, err := metricsClient.Get("http://" + addr + metricsPath)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		if value, ok := strings.CutPrefix(scanner.Text(), name+" "); ok {
			return strconv.ParseFloat(value, 64)
		}
	}
	return 0, scanner.Err()
}

func init() { conditions["unheld"] = awaitUnheld }

// awaitUnheld: no entry holds bills for others any more.
func awaitUnheld(c *cluster, _ []string) error {
	for _, p := range c.entries() {
		held, err := fetchMetric(p.addrs.Admin, heldMetric)
		if err != nil {
			return err
		}
		if held > 0 {
			return eris.Errorf("%s holds %v bills", p.id, held)
		}
	}
	return nil
}
