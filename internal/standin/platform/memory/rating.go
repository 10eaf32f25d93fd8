package memory

import (
	"context"
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
)

// Rate implements [platform.Rater].
func (p *Platform) Rate(ctx context.Context, req platform.RateRequest) (float64, error) {
	if req.Version == "" {
		return 0, invalid("version: missing")
	}
	var score float64
	err := p.read(ctx, fault.Rating, p.ratings, func(time.Time) {
		score = p.rater.Score(req.Version, req.Class)
	})
	if err != nil {
		return 0, err
	}
	return score, nil
}
