package platform_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/platform"
	standin "github.com/hickorybank/hickorybank/internal/standin/platform"
)

// A list of 11,600 VMs has 1.3 MB. A reader that already has the list must get only
// "unchanged", and the whole list once it has changed.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	_, c := start(t, standin.Settings{})
	lists := c.VMs().(platform.ConditionalVMs)
	vm := platform.VM{ID: "e1", Role: platform.RoleEntry, Addr: "127.0.0.1:1", FailureDomain: "manga"}
	is.NoErr(c.RegisterVM(t.Context(), vm))
	first, err := lists.ListIfChanged(t.Context(), "")
	is.NoErr(err)
	is.Equal(len(first.VMs), 1)
	again, err := lists.ListIfChanged(t.Context(), first.Tag)
	is.NoErr(err)
	is.True(again.Unchanged)
	is.NoErr(c.LeaveVM(t.Context(), "e1"))
	changed, err := lists.ListIfChanged(t.Context(), first.Tag)
	is.NoErr(err)
	is.True(!changed.Unchanged)
	is.Equal(changed.VMs[0].State, platform.Leaving)
}
