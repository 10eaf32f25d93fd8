package service

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/config"
)

// Settings configures one stand-in service.
type Settings struct {
	// ID identifies the service in events.
	ID string
	// Service is the name of the service, for example "billing".
	Service string
	// Listen is the IP and port for calls. Port 0 selects a free port.
	Listen string
	// FaultListen is the IP and port of the fault port. Empty means no fault port.
	FaultListen string
	// FailureDomain is the service's failure domain.
	FailureDomain string
	// Calls are the calls that the service accepts, by method and path prefix; it
	// declines all others. If empty, it accepts every call.
	Calls []config.Call
	// Latency is the time that a call takes.
	Latency time.Duration
	// Limit is the limit of concurrent calls in load reports. It is not enforced.
	Limit int
	// LoadLag is the age of a load report.
	LoadLag time.Duration
}

// Validate returns an error for the first invalid setting.
func (s Settings) Validate() error {
	switch {
	case s.Listen == "":
		return eris.New("service: Listen is empty")
	case s.Latency < 0, s.LoadLag < 0:
		return eris.Errorf("service: Latency %s or LoadLag %s is negative", s.Latency, s.LoadLag)
	case s.Limit < 0:
		return eris.Errorf("service: Limit is %d, negative", s.Limit)
	}
	return nil
}
