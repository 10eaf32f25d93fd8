package sim

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func tarifas(t *testing.T) Deployment {
	d, err := DeploymentOf("tarifas")
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// The same configuration and seed must give the same work and attempts. Otherwise the
// tables cannot be reproduced.
func TestSameSeedGivesSameResult(t *testing.T) {
	is := is.New(t)
	cfg := Config{Deployment: tarifas(t), Seed: 3, Duration: 60 * time.Second, Load: 0.7}
	a, err := Run(cfg)
	is.NoErr(err)
	b, err := Run(cfg)
	is.NoErr(err)
	is.Equal(fmt.Sprint(a.Work), fmt.Sprint(b.Work))
	is.Equal(a.Attempts, b.Attempts)
	c := a.Class("draft")
	t.Log(cfg.Deployment.Capacity(), c.Requests, c.Completed, c.FirstTokenAt(50), c.FirstTokenAt(99), c.TotalAt(50), c.TotalAt(99), c.HitRate())
}
