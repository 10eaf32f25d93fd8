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
	// maxLosses is the number of VMs that may be lost while peers hold bills in memory. A bill
	// is then in the memory of three VMs and is lost with the third.
	maxLosses = 2
	// takeoverTime is the time after which the holders have taken over and written the bills
	// of a lost owner, provided that the store accepts writes.
	takeoverTime = 12 * time.Second
)

const (
	heldMetric   = "hickorybank_bills_held"
	metricsLimit = time.Second
	metricsPath  = "/metrics" // requires no operator key
)

var metricsClient = &http.Client{Timeout: metricsLimit}

// allowLoss reports whether another entry may be lost now, and counts the loss. Earlier losses
// no longer count once takeoverTime has passed or no bills are held.
func (s *storm) allowLoss() bool {
	now := time.Now()
	settled := now.Sub(s.lastLoss) > takeoverTime && now.Sub(s.platformFaultAt) > takeoverTime
	if settled || !s.billsAtRisk() {
		s.losses = 0
	}
	if s.losses >= maxLosses {
		return false
	}
	s.losses++
	s.lastLoss = now
	return true
}

// billsAtRisk reports whether some entry holds bills for others, or cannot be queried.
func (s *storm) billsAtRisk() bool {
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

// fetchMetric reads one metric without labels; 0 if it is missing.
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

func init() { conditions["unheld"] = awaitNoHeldBills }

// awaitNoHeldBills: no entry holds bills for others.
func awaitNoHeldBills(c *cluster, _ []string) error {
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
