package memory

import (
	"context"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// Rate implements [platform.Rater].
func (p *Platform) Rate(ctx context.Context, req platform.RateRequest) (float64, error) {
	if req.Version == "" {
		return 0, invalid("version: missing")
	}
	return p.settings.DefaultQuality, nil
}
