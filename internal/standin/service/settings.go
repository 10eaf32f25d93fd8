package service

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/config"
)

// Settings configures one stand-in service.
type Settings struct {
	ID string
	// Service is the name of the service, for example "billing".
	Service string
	// Listen is the IP and port for calls; port 0 takes a free one.
	Listen string
	// FaultListen is the IP and port of the fault port; empty means none.
	FaultListen   string
	FailureDomain string
	// Calls are the calls that the service knows; an unknown call is declined.
	// Without any, every call is known.
	Calls []config.Call
	// Latency is the time that a call takes.
	Latency time.Duration
	// Limit is how many calls run at a time, as the load report says it; the
	// stand-in does not enforce it.
	Limit int
	// LoadLag is how old a load report is when it is given out.
	LoadLag time.Duration
}

// Validate reports the first setting that cannot be used.
func (s Settings) Validate() error {
	switch {
	case s.Listen == "":
		return eris.New("service: Listen is empty")
	case s.Latency < 0, s.LoadLag < 0:
		return eris.New("service: a duration is negative")
	case s.Limit < 0:
		return eris.New("service: Limit is negative")
	}
	return nil
}
