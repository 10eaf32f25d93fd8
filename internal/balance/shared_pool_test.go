package balance

import (
	"testing"

	"github.com/matryer/is"
)

// Slots that versions share have one admission queue, not two. Drafts and notes run on
// engines that overlap, so a slot that a draft takes is not available to notes. Another
// version has its own engines.
func TestVersionsThatShareUpstreamsHaveOnePool(t *testing.T) {
	is := is.New(t)
	b := New(Settings{SelfDomain: "domain-0"})
	vms := engines(4)
	b.SetMembers(vms, NodeRank{Count: 1}, epoch)
	reportAll(b, vms[:1], epoch, "draft@1")
	reportAll(b, vms[1:2], epoch, "draft@1", "draft@2")
	reportAll(b, vms[2:3], epoch, "draft@2", "notes@1")
	reportAll(b, vms[3:], epoch, "other@1")
	is.Equal(b.PoolName("notes@1"), "draft@1")
	is.Equal(b.PoolName("draft@2"), "draft@1")
	is.Equal(b.PoolName("other@1"), "other@1")
	is.Equal(b.PoolName("unknown"), "unknown")
	is.Equal(b.PoolLoad("notes@1", "", epoch).Limit, 24)
	is.Equal(b.PoolLoad("other@1", "", epoch).Limit, 8)
}
