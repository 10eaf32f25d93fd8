package capacity

import "slices"

// Probes returns all probes, in the order of the page.
func Probes() []Probe {
	return slices.Concat(
		processProbes(), streamProbes(), nodeProbes(), requestProbes(), balanceProbes(), pollProbes(), admissionProbes(), limitProbes(),
		choiceProbes(), shareProbes(), rolloutProbes(), ledgerProbes(), configProbes(), ledgerCallProbes(), ledgerFleetProbes(), confsyncProbes(), membershipProbes(), suspectProbes(), peerProbes(), platformProbes(), telemetryProbes(),
	)
}

// Measure runs all probes and calls done after each. With quick it uses fewer sizes and
// shorter rounds. It stops at the first error.
func Measure(quick bool, done func(Slope)) (Slopes, error) {
	m := FullMeter
	if quick {
		m = QuickMeter
	}
	var all Slopes
	for _, p := range Probes() {
		s, err := p.Run(m, quick)
		if err != nil {
			return nil, err
		}
		done(s)
		all = append(all, s)
	}
	return all, nil
}
