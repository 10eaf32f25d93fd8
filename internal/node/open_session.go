package node

import (
	"time"

	"github.com/google/uuid"

	"github.com/hickorybank/hickorybank/internal/api"
	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/session"
)

// openedSession is the session that a call belongs to or begins.
type openedSession struct {
	// version is empty while the session has none yet.
	version string
	// token is returned to the caller; it is empty for a new session.
	token string
	// isNew means that the caller asked for a new session on the version that answers.
	isNew bool
}

func (n *Node) openSession(call api.ChatCall, now time.Time) (openedSession, *request.Failure) {
	if call.Session == "" {
		return openedSession{isNew: call.WantSession}, nil
	}
	token, err := n.sessions.Verify(call.Session, call.Org.Name, now)
	if err != nil {
		return openedSession{}, request.Refuse(request.CodeBadRequest, 0, "Hickorybank-Session: "+err.Error())
	}
	return openedSession{version: token.Version, token: call.Session}, nil
}

// sessionToken returns the session token to send with an answer of the version, or "" outside a
// session.
func (n *Node) sessionToken(s openedSession, org, version string) string {
	if !s.isNew {
		return s.token
	}
	text, err := n.sessions.Sign(session.Token{ID: uuid.NewString(), Org: org, Version: version, Started: time.Now().Unix()})
	if err != nil {
		panic(err) // a token of plain strings always encodes
	}
	return text
}
