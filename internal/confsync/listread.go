package confsync

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// listRead is the last list that was read here. Only the goroutine of a read
// uses it, and the core has one read under way.
type listRead struct {
	// tag is the platform's name of the list, empty for none; digest is ours.
	tag    string
	digest uint64
}

var errNoList = eris.New("nobody reads the VM list here")

// readList reads the platform's VM list; known is the digest of the list that
// this node has.
func (s *Syncer) readList(d ReadList, known uint64) {
	ctx, cancel := context.WithTimeout(s.ctx, s.settings.ReadTimeout)
	defer cancel()
	list, err := s.fetchList(ctx, known)
	if err != nil {
		s.post(input{event: ListFailed(d)})
		return
	}
	if list == nil {
		s.post(input{event: ListRead{Token: d.Token, Digest: known}})
		return
	}
	s.post(input{event: ListRead{Token: d.Token, Digest: list.tag}, list: list})
}

// fetchList returns the list, or nil when it is still the known one. It asks
// for news only when the list that this node has is the one that it read last:
// a peer may have sent another meanwhile, whose tag is unknown here.
func (s *Syncer) fetchList(ctx context.Context, known uint64) (*vmList, error) {
	if s.deps.Lists == nil {
		return nil, errNoList
	}
	tag := ""
	if s.lastRead.digest == known {
		tag = s.lastRead.tag
	}
	read, err := listUnless(ctx, s.deps.Lists, tag)
	if err != nil || read.Unchanged {
		return nil, err
	}
	list, err := newVMList(read.VMs)
	if err != nil {
		return nil, err
	}
	s.lastRead = listRead{tag: read.Tag, digest: list.tag}
	return list, nil
}

// listUnless reads the whole list from a platform that cannot say that nothing
// changed.
func listUnless(ctx context.Context, lists platform.VMs, tag string) (platform.TaggedVMs, error) {
	if conditional, ok := lists.(platform.ConditionalVMs); ok {
		return conditional.ListUnless(ctx, tag)
	}
	vms, err := lists.List(ctx)
	return platform.TaggedVMs{VMs: vms}, err
}
