package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/fleet"
	"github.com/hickorybank/hickorybank/internal/revision"
	"github.com/hickorybank/hickorybank/internal/transfer"
)

// fetchedList returns the list that a node sends to a peer.
func fetchedList(t *testing.T, n *Node) fleet.List {
	t.Helper()
	r := transfer.NewReceiverOf(transfer.List, "peer")
	for complete := false; !complete; {
		var err error
		if complete, err = r.Take(n.listPiece(r.NextRequest())); err != nil {
			t.Fatal(err)
		}
	}
	update, err := r.Update(nil)
	if err != nil {
		t.Fatal(err)
	}
	list, err := fleet.DecodeList(update.Raw())
	if err != nil {
		t.Fatal(err)
	}
	return list
}

// Fails if a node that starts after a restore of the table gets no list of upstreams from its peers, because
// the one that they send is as of a time before.
func TestListIsSentAsOfTheLatestRevision(t *testing.T) {
	at := func(era, version uint64) revision.Revision {
		r, err := revision.New(era, version)
		is.New(t).NoErr(err)
		return r
	}
	for _, test := range []struct {
		name  string
		known revision.Revision
		after time.Duration
		want  revision.Revision
	}{
		{"same revision", at(0, 7), time.Hour, at(0, 7)},
		{"later revision of the same list, soon", at(0, 9), 0, at(0, 7)},
		{"later revision of the same list", at(0, 9), maxDocumentAge, at(0, 9)},
		{"restored table with the same list", at(1, 5), 0, at(1, 5)},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			n := newRolloutNode("n1", nil)
			n.fleet.Put(fleet.Record{ID: "u", Addr: "u", Service: "s"}, time.Now())
			n.view.listRevision = at(0, 7)
			n.advanceList(time.Now(), time.Second)
			is.Equal(fetchedList(t, n).Revision, at(0, 7))
			n.listDocument.at = n.listDocument.at.Add(-test.after)
			n.view.listRevision = test.known
			n.advanceList(time.Now(), 2*time.Second)
			is.Equal(fetchedList(t, n).Revision, test.want)
		})
	}
}

// Fails if a node whose peers serve only lists that it can't use never reads the table itself.
func TestUnusableListDoesNotPutOffTheReading(t *testing.T) {
	is := is.New(t)
	n := newRolloutNode("n1", nil)
	f := newDocumentFetch(n, transfer.List)
	f.noteProgress()
	is.True(!n.view.listPendingAt.IsZero())
	f.forgetProgress()
	is.True(n.view.listPendingAt.IsZero())
}
