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

func TestRunIsAFunctionOfItsSeed(t *testing.T) {
	is := is.New(t)
	cfg := Config{Deployment: tarifas(t), Seed: 3, Length: 60 * time.Second, Load: 0.7}
	a, err := Run(cfg)
	is.NoErr(err)
	b, err := Run(cfg)
	is.NoErr(err)
	is.Equal(fmt.Sprint(a.Work), fmt.Sprint(b.Work))
	is.Equal(a.Attempts, b.Attempts)
	c := a.Class("draft")
	t.Log(cfg.Deployment.Capacity(), c.Requests, c.Completed, c.FirstAt(50), c.FirstAt(99), c.TotalAt(50), c.TotalAt(99), c.HitRate())
}
