package platform_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/platform"
	standin "github.com/hickorybank/hickorybank/internal/standin/platform"
)

func TestEveryCallOverHTTP(t *testing.T) {
	is := is.New(t)
	_, c := start(t, standin.Settings{})
	ctx := t.Context()

	result, err := c.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: "a"}},
		Writes:     []platform.Write{{Key: "a", Value: []byte("one")}, {Key: "b", Value: []byte("two")}},
	})
	is.NoErr(err)
	is.True(result.Applied)
	row, err := c.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(row, platform.Row{Key: "a", Version: result.Version, Value: []byte("one")})
	again, err := c.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: "a"}},
		Writes:     []platform.Write{{Key: "a", Delete: true}},
	})
	is.NoErr(err)
	is.True(!again.Applied)
	is.Equal(again.Conflicts, []platform.Row{row})
	rows, err := c.Scan(ctx, "", "a", 10)
	is.NoErr(err)
	is.Equal(len(rows), 1)
	is.Equal(rows[0].Key, "b")

	is.NoErr(c.Objects().Put(ctx, "o/1 &?", nil))
	is.NoErr(c.Objects().Put(ctx, "o/2", []byte{0, 255}))
	value, ok, err := c.Objects().Get(ctx, "o/2")
	is.NoErr(err)
	is.True(ok)
	is.Equal(value, []byte{0, 255})
	_, ok, err = c.Objects().Get(ctx, "o/3")
	is.NoErr(err)
	is.True(!ok)
	keys, err := c.Objects().List(ctx, "o/")
	is.NoErr(err)
	is.Equal(keys, []string{"o/1 &?", "o/2"})

	vm := platform.VM{ID: "vm-1", Role: platform.RoleEngine, Addr: "127.0.0.1:1", FailureDomain: "manga"}
	is.NoErr(c.RegisterVM(ctx, vm))
	is.NoErr(c.LeaveVM(ctx, "vm-1"))
	list, err := c.VMs().List(ctx)
	is.NoErr(err)
	is.Equal(len(list), 1)
	is.Equal(list[0].State, platform.Leaving)
	is.NoErr(c.RemoveVM(ctx, "vm-1"))
	list, err = c.VMs().List(ctx)
	is.NoErr(err)
	is.Equal(len(list), 0)

	score, err := c.Rate(ctx, platform.RateRequest{Version: "v1", Class: "draft"})
	is.NoErr(err)
	is.Equal(score, 0.8)
}
