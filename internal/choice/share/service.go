package share

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/choice/exposure"
)

// service answers peers, in net/rpc's form.
type service struct{ share *Share }

// Report takes in a peer's summary and answers with what all others have seen.
func (s *service) Report(r *choice.Report, pool *choice.Pool) error {
	*pool = s.share.deps.Chooser.Answer(*r, time.Now())
	return nil
}

// GrantRequest asks for exposure of a staged version.
type GrantRequest struct {
	Version string
}

// Grant hands out exposure of a staged version.
func (s *service) Grant(r *GrantRequest, grant *exposure.Grant) error {
	*grant = s.share.grants.hand(r.Version, time.Now())
	return nil
}

// Hold takes in holds that a peer raised or learned of.
func (s *service) Hold(list *[]choice.Hold, _ *struct{}) error {
	s.share.holds.learn(*list)
	return nil
}
