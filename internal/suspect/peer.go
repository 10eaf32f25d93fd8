package suspect

import (
	"bytes"
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

const (
	// maxAlertRecords bounds the records of one alert.
	maxAlertRecords = 128
	// maxUnansweredAlerts bounds the alerts to one peer whose answer may still arrive.
	maxUnansweredAlerts = 16
)

// peer is the state that a tracker keeps for one other node.
type peer struct {
	id   string
	born uint64
	// lastHeard is when its last message arrived; everHeard is set once there was one.
	lastHeard time.Duration
	everHeard bool
	left      bool
	// pending are the records that it has not acknowledged, with their versions.
	pending   map[request.Fingerprint]uint64
	alerts    []alert
	alertedAt time.Duration
}

// alert is a sent message of kind Alert that has not been acknowledged.
type alert struct {
	seq   uint64
	items []alertItem
}

type alertItem struct {
	fingerprint request.Fingerprint
	version     uint64
}

func newPeer(id string) *peer {
	return &peer{id: id, pending: map[request.Fingerprint]uint64{}}
}

// nextItems returns the records to send next, sorted by fingerprint.
func (p *peer) nextItems() []alertItem {
	items := make([]alertItem, 0, len(p.pending))
	for f, v := range p.pending {
		items = append(items, alertItem{fingerprint: f, version: v})
	}
	slices.SortFunc(items, func(a, b alertItem) int { return bytes.Compare(a.fingerprint[:], b.fingerprint[:]) })
	return items[:min(len(items), maxAlertRecords)]
}

func (p *peer) addAlert(seq uint64, items []alertItem, now time.Duration) {
	p.alertedAt = now
	p.alerts = append(p.alerts, alert{seq: seq, items: items})
	if len(p.alerts) > maxUnansweredAlerts {
		p.alerts = slices.Delete(p.alerts, 0, len(p.alerts)-maxUnansweredAlerts)
	}
}

// handleAck handles the answer to an alert.
func (p *peer) handleAck(seq uint64) {
	at := slices.IndexFunc(p.alerts, func(a alert) bool { return a.seq == seq })
	if at < 0 {
		return
	}
	for _, item := range p.alerts[at].items {
		if p.pending[item.fingerprint] == item.version {
			delete(p.pending, item.fingerprint)
		}
	}
	p.alerts = slices.Delete(p.alerts, at, at+1)
}
