package confsync

import (
	"github.com/hickorybank/hickorybank/internal/archive"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// Decision is an output of [Core].
type Decision interface{ decision() }

// The decisions.
type (
	// ReadHead reads the head row.
	ReadHead struct{ Token Token }
	// ReadList reads the platform's VM list.
	ReadList struct{ Token Token }
	// Fetch reads a revision's document from the table and applies it.
	Fetch struct {
		Token    Token
		Revision uint64
	}
	// Apply applies an update that a peer sent.
	Apply struct {
		Token  Token
		Update archive.Update
	}
	// TakeList takes a VM list that a peer sent.
	TakeList struct{ List archive.Update }
	// Wait calls a peer.
	Wait struct {
		Token Token
		Addr  string
		Args  WaitArgs
	}
	// AnswerWait answers a peer's call. The shell adds the update and the
	// list that the peer lacks.
	AnswerWait struct {
		Token Token
		Reply WaitReply
		// Known is the revision that the peer has; Full asks for the whole
		// document.
		Known uint64
		Full  bool
		// KnownList is the digest of the peer's list; SendList says whether
		// it lacks the newer one.
		KnownList uint64
		SendList  bool
	}
	// Survey calls a peer.
	Survey struct {
		Token Token
		Addr  string
		Args  SurveyArgs
	}
	// AnswerSurvey answers a peer's call.
	AnswerSurvey struct {
		Token Token
		Reply SurveyReply
	}
	// AnswerConfirm answers [ConfirmAsked].
	AnswerConfirm struct {
		Token        Token
		Confirmation Confirmation
	}
	// Tell answers [StopOrdered] with the peers to be told.
	Tell struct {
		Token  Token
		Notice Notice
		Peers  []platform.VM
	}
	// NoteLeaving says that an entry node stops or serves again.
	NoteLeaving struct{ Notice Notice }
)

func (ReadHead) decision()      {}
func (ReadList) decision()      {}
func (Fetch) decision()         {}
func (Apply) decision()         {}
func (TakeList) decision()      {}
func (Wait) decision()          {}
func (AnswerWait) decision()    {}
func (Survey) decision()        {}
func (AnswerSurvey) decision()  {}
func (AnswerConfirm) decision() {}
func (Tell) decision()          {}
func (NoteLeaving) decision()   {}
