package pacing

import "time"

const (
	// Within any advertisedWindow, an upstream receives at most advertisedFactor times its
	// advertised rate plus advertisedSlack requests.
	advertisedFactor = 1.5
	advertisedSlack  = 5
	advertisedWindow = 4 * time.Second
	// minProbeRate is the rate in requests per second at which requests go to an upstream
	// that advertises a rate of 0: only a response shows that it accepts requests again.
	minProbeRate = 0.25
)

// AdvertisedBound returns the bound of an upstream that advertises a rate limit in requests
// per second.
func AdvertisedBound(perSecond float64) Bound {
	maxArrivals := advertisedFactor*perSecond*advertisedWindow.Seconds() + advertisedSlack
	return Bound{Rate: max(perSecond, minProbeRate), MaxArrivals: maxArrivals, Window: advertisedWindow}
}
