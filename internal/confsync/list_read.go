package confsync

import (
	"context"
	"fmt"
	"log/slog"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// listRead is the last list that was read here. Only the goroutine of a read uses it, and the
// core runs one read at a time.
type listRead struct {
	// tag is the platform's tag of the list, empty for none; digest is our digest of it.
	tag    string
	digest uint64
}

var errNoList = eris.New("nobody reads the VM list here")

// readList reads the platform's VM list and posts the result; known is the digest of the list
// that this node has.
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
	s.post(input{event: ListRead{Token: d.Token, Digest: list.digest}, list: list})
}

// fetchList returns the platform's list, or nil if it is still the known one. The read is
// conditional only if the node's current list is the one that it read last: a list from a
// peer has no known tag.
func (s *Syncer) fetchList(ctx context.Context, known uint64) (*vmList, error) {
	if s.deps.Lists == nil {
		return nil, errNoList
	}
	tag := ""
	if s.lastRead.digest == known {
		tag = s.lastRead.tag
	}
	read, err := readListUnless(ctx, s.deps.Lists, tag)
	if err != nil || read.Unchanged {
		return nil, err
	}
	if len(read.Unreadable) > 0 {
		event.ListUnreadable.Log(s.deps.Log, slog.Int("entries", len(read.Unreadable)), slog.String("error", fmt.Sprintf("%.256s", read.Unreadable[0])))
	}
	list, err := newVMList(read.VMs)
	if err != nil {
		return nil, err
	}
	s.lastRead = listRead{tag: read.Tag, digest: list.digest}
	return list, nil
}

// readListUnless reads the list unless it still has the tag. A platform without conditional
// reads always returns the full list.
func readListUnless(ctx context.Context, lists platform.VMs, tag string) (platform.TaggedVMs, error) {
	if conditional, ok := lists.(platform.ConditionalVMs); ok {
		return conditional.ListIfChanged(ctx, tag)
	}
	vms, err := lists.List(ctx)
	return platform.TaggedVMs{VMs: vms}, err
}
