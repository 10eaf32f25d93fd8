package scenario

import (
	"math/rand/v2"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// fewestEntries serve on while others are frozen or cut off.
	fewestEntries = 4
	platformBusy  = "platform"
	outageBusy    = "outage"
)

// strike brings a fault about. It returns how to end it, and what was done;
// nothing, when other faults leave no room for it.
func (s *storm) strike(kind strikeKind, rng *rand.Rand) (end func() error, what string, err error) {
	switch kind {
	case entryKilled:
		return s.killEntry(rng)
	case entryStopped:
		return s.stopEntry(rng)
	case entryFrozen:
		return s.freezeEntry(rng)
	case linkCut, linkSlow:
		return s.strikeLink(kind, rng)
	case engineKilled:
		return s.killUpstream(&s.engines, s.newEngine, rng)
	case engineFault:
		return s.faultAt(s.engines[rng.IntN(len(s.engines))], engineFaults[rng.IntN(len(engineFaults))])
	case serviceFault:
		return s.faultAt(s.services[rng.IntN(len(s.services))], serviceFaults[rng.IntN(len(serviceFaults))])
	case serviceKilled:
		return s.killUpstream(&s.services, s.newService, rng)
	case platformFault:
		return s.faultPlatform(platformBusy, platformFaults[rng.IntN(len(platformFaults))])
	case platformOutage:
		return s.faultPlatform(outageBusy, platformDown)
	case presetChanged:
		return s.changePreset(rng)
	}
	panic("no such strike")
}

// free draws an entry that nothing has befallen, if enough others are left.
func (s *storm) free(rng *rand.Rand) (stormEntry, bool) {
	var fit []stormEntry
	for _, e := range s.entries {
		if !s.busy[e.id] {
			fit = append(fit, e)
		}
	}
	if len(fit) <= fewestEntries {
		return stormEntry{}, false
	}
	return fit[rng.IntN(len(fit))], true
}

func (s *storm) remove(e stormEntry) {
	s.entries = slices.DeleteFunc(s.entries, func(x stormEntry) bool { return x == e })
	s.gone = append(s.gone, e.id)
}

// tryUnlist lets the list lag on while the platform does not answer.
func (s *storm) tryUnlist() error {
	_ = s.unlist() // tried again when the storm is over
	return nil
}

// killEntry loses a VM and puts another in its place.
func (s *storm) killEntry(rng *rand.Rand) (func() error, string, error) {
	e, ok := s.free(rng)
	if !ok || !s.mayLose() {
		return nil, "", nil
	}
	p, err := s.cluster.process(e.id)
	if err != nil {
		return nil, "", err
	}
	p.kill()
	s.remove(e)
	return s.tryUnlist, e.id, s.newEntry(e.domain)
}

// stopEntry replaces a VM as planned.
func (s *storm) stopEntry(rng *rand.Rand) (func() error, string, error) {
	e, ok := s.free(rng)
	if !ok {
		return nil, "", nil
	}
	p, err := s.cluster.process(e.id)
	if err != nil {
		return nil, "", err
	}
	s.remove(e)
	s.stopping = append(s.stopping, p)
	if err := p.signal(syscall.SIGTERM); err != nil {
		return nil, "", err
	}
	return s.tryUnlist, e.id, s.newEntry(e.domain)
}

func (s *storm) freezeEntry(rng *rand.Rand) (func() error, string, error) {
	e, ok := s.free(rng)
	if !ok {
		return nil, "", nil
	}
	p, err := s.cluster.process(e.id)
	if err != nil {
		return nil, "", err
	}
	s.busy[e.id] = true
	thaw := func() error {
		delete(s.busy, e.id)
		return s.cluster.freeze(p, false)
	}
	return thaw, e.id, s.cluster.freeze(p, true)
}

// strikeLink cuts an entry off from the platform or another entry, or slows
// the way.
func (s *storm) strikeLink(kind strikeKind, rng *rand.Rand) (func() error, string, error) {
	e, ok := s.free(rng)
	if !ok {
		return nil, "", nil
	}
	other := platformID
	if rng.IntN(2) == 0 {
		other = s.entries[rng.IntN(len(s.entries))].id
	}
	if other == e.id {
		return nil, "", nil
	}
	s.busy[e.id] = true
	gate := s.cluster.network.gate(e.id, other)
	if kind == linkCut {
		gate.cut()
	} else {
		gate.slow(time.Duration(1+rng.IntN(100)) * time.Millisecond)
	}
	heal := func() error {
		delete(s.busy, e.id)
		gate.heal()
		gate.slow(0)
		return nil
	}
	return heal, e.id + " and " + other, nil
}

// killUpstream loses one of the upstreams and puts another in its place.
func (s *storm) killUpstream(ids *[]string, replace func() error, rng *rand.Rand) (func() error, string, error) {
	i := rng.IntN(len(*ids))
	id := (*ids)[i]
	if s.busy[id] {
		return nil, "", nil
	}
	p, err := s.cluster.process(id)
	if err != nil {
		return nil, "", err
	}
	if err := s.cluster.kill(p); err != nil {
		return nil, "", err
	}
	*ids = slices.Delete(*ids, i, i+1)
	s.gone = append(s.gone, id)
	return s.tryUnlist, id, replace()
}

func (s *storm) faultAt(id string, f jsonFault) (func() error, string, error) {
	if s.busy[id] {
		return nil, "", nil
	}
	s.busy[id] = true
	end := func() error {
		delete(s.busy, id)
		return s.cluster.fault(id, f.clear)
	}
	return end, id + " " + f.set, s.cluster.fault(id, f.set)
}

func (s *storm) faultPlatform(why, settings string) (func() error, string, error) {
	if s.busy[platformBusy] || s.busy[outageBusy] {
		return nil, "", nil
	}
	s.busy[why] = true
	s.struck = time.Now()
	end := func() error {
		s.struck = time.Now()
		delete(s.busy, why)
		return s.cluster.fault(platformID, platformClear)
	}
	return end, settings, s.cluster.fault(platformID, settings)
}

// changePreset has an operator change the preset; in an outage that may fail.
func (s *storm) changePreset(rng *rand.Rand) (func() error, string, error) {
	e := s.entries[rng.IntN(len(s.entries))]
	if s.busy[e.id] {
		return nil, "", nil
	}
	preset := []string{"ordinary", "peak", "maintenance"}[rng.IntN(3)]
	out, err := s.cluster.adminSays(e.id, "preset", preset)
	if err != nil {
		return nil, preset + " at " + e.id + ": " + strings.TrimSpace(out), nil
	}
	if _, after, ok := strings.Cut(out, "accepted revision "); ok {
		revision, err := strconv.Atoi(strings.Fields(after)[0])
		if err != nil || revision <= s.accepted {
			return nil, "", eris.Errorf("revision %q was accepted after %d", after, s.accepted)
		}
		s.accepted = revision
	}
	return nil, preset + " at " + e.id, nil
}

func (s *storm) admin(args ...string) error {
	url, err := s.cluster.platformURL("operator")
	if err != nil {
		return err
	}
	out, err := exec.Command(binary, append(append([]string{"admin"}, args...), "--platform", url)...).CombinedOutput()
	return eris.Wrapf(err, "%s", out)
}
