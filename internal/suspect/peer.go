package suspect

import (
	"bytes"
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

const (
	// alertMost bounds the records of one alert.
	alertMost = 128
	// alertsOut bounds the alerts to one peer whose answer may still come.
	alertsOut = 16
)

// peer is what a tracker holds of one other node.
type peer struct {
	id   string
	born uint64
	// heard is when it last said anything; ever says that it has.
	heard time.Duration
	ever  bool
	bye   bool
	// pending are the records that it has not acknowledged, by version.
	pending map[request.Fingerprint]uint64
	alerts  []alert
	alerted time.Duration
}

// alert is a message of news that was sent.
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

// due are the records to send now, in a fixed order.
func (p *peer) due() []alertItem {
	items := make([]alertItem, 0, len(p.pending))
	for f, v := range p.pending {
		items = append(items, alertItem{fingerprint: f, version: v})
	}
	slices.SortFunc(items, func(a, b alertItem) int { return bytes.Compare(a.fingerprint[:], b.fingerprint[:]) })
	return items[:min(len(items), alertMost)]
}

func (p *peer) sent(seq uint64, items []alertItem, now time.Duration) {
	p.alerted = now
	p.alerts = append(p.alerts, alert{seq: seq, items: items})
	if len(p.alerts) > alertsOut {
		p.alerts = slices.Delete(p.alerts, 0, len(p.alerts)-alertsOut)
	}
}

// acknowledged takes the answer to an alert.
func (p *peer) acknowledged(seq uint64) {
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
