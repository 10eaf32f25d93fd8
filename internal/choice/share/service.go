package share

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/choice/exposure"
)

// service implements the net/rpc methods that peers call.
type service struct{ share *Share }

// Report merges a peer's summary and returns what all other nodes have observed.
func (s *service) Report(r *choice.Report, pool *choice.Pool) error {
	*pool = s.share.deps.Chooser.HandleReport(*r, time.Now())
	return nil
}

// GrantRequest requests exposure of a staged version.
type GrantRequest struct {
	Version string
}

// Grant grants exposure of a staged version.
func (s *service) Grant(r *GrantRequest, grant *exposure.Grant) error {
	*grant = s.share.grants.grant(r.Version, time.Now())
	return nil
}

// Hold applies holds that a peer raised or received.
func (s *service) Hold(list *[]choice.Hold, _ *struct{}) error {
	s.share.holds.apply(*list)
	return nil
}
