package scenario

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// mostLosses is how many VMs may be lost while bills are held by peers: a bill
// is in the memory of three VMs then, and is lost with the third.
const mostLosses = 2

const (
	heldMetric   = "hickorybank_bills_held"
	metricsLimit = time.Second
	metricsPath  = "/metrics" // needs no key
)

var metricsClient = &http.Client{Timeout: metricsLimit}

// mayLose says whether another entry may be lost now, and counts it. While no
// entry holds bills for others, what was lost before does not matter any more.
func (s *storm) mayLose() bool {
	if !s.exposed() {
		s.losses = 0
	}
	if s.losses >= mostLosses {
		return false
	}
	s.losses++
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
