package node

import (
	"strings"
	"time"

	"github.com/hickorybank/hickorybank/internal/balance"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// activeAttempt is the attempt in flight of a chat request.
type activeAttempt struct {
	attempt    string
	version    string
	vm         platform.VM
	epoch      uint64
	token      balance.Token
	stream     upstream.Stream
	stallTimer *time.Timer // cancels the stream's context when no chunk arrives
	began      time.Time
	firstToken time.Duration
	chunks     int
	text       strings.Builder
	err        error // the last failure
	concluded  bool  // the suspects know how the attempt ended
	adopted    bool  // begun elsewhere: unknown to the balancer and the suspects
	answered   bool  // the messages are known not to have crashed the upstream
}

func (a *activeAttempt) close() {
	if a.stream != nil {
		_ = a.stream.Close()
		a.stream = nil
	}
	if a.stallTimer != nil {
		a.stallTimer.Stop()
	}
}
