package confsync

import (
	"github.com/hickorybank/hickorybank/internal/archive"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// Decision is an output of [Core]: an action for the [Syncer] to perform.
type Decision interface{ decision() }

// Decisions. A Token identifies the event that reports the result.
type (
	// ReadHead reads the head row of the table.
	ReadHead struct{ Token Token }
	// ReadList reads the platform's VM list.
	ReadList struct{ Token Token }
	// Fetch reads the document of a revision from the table and applies it.
	Fetch struct {
		Token    Token
		Revision uint64
	}
	// Apply applies an update received from a peer.
	Apply struct {
		Token  Token
		Update archive.Update
	}
	// AcceptList applies a VM list received from a peer.
	AcceptList struct{ List archive.Update }
	// Wait pulls from a peer.
	Wait struct {
		Token Token
		Addr  string
		Args  WaitArgs
	}
	// AnswerWait answers a peer's pull. The [Syncer] adds the update and the list that
	// the peer lacks.
	AnswerWait struct {
		Token Token
		Reply WaitReply
		// Known is the revision that the peer has; Full requests the full document.
		Known uint64
		Full  bool
		// KnownList is the digest of the peer's list; SendList is set if the peer lacks
		// a newer list.
		KnownList uint64
		SendList  bool
	}
	// Survey requests the state of a peer or of its failure domain.
	Survey struct {
		Token Token
		Addr  string
		Args  SurveyArgs
	}
	// AnswerSurvey answers a peer's survey.
	AnswerSurvey struct {
		Token Token
		Reply SurveyReply
	}
	// AnswerConfirm answers [ConfirmRequested].
	AnswerConfirm struct {
		Token        Token
		Confirmation Confirmation
	}
	// SendNotice answers [StopOrdered] with the peers to notify.
	SendNotice struct {
		Token  Token
		Notice Notice
		Peers  []platform.VM
	}
	// ReportNotice reports that an entry node is stopping or serves again.
	ReportNotice struct{ Notice Notice }
)

func (ReadHead) decision()      {}
func (ReadList) decision()      {}
func (Fetch) decision()         {}
func (Apply) decision()         {}
func (AcceptList) decision()    {}
func (Wait) decision()          {}
func (AnswerWait) decision()    {}
func (Survey) decision()        {}
func (AnswerSurvey) decision()  {}
func (AnswerConfirm) decision() {}
func (SendNotice) decision()    {}
func (ReportNotice) decision()  {}
