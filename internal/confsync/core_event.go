package confsync

import "github.com/hickorybank/hickorybank/internal/platform"

// Event is an input of [Core].
type Event interface{ event() }

// Token matches a decision to the event that answers it, or an event to the decision.
type Token uint64

// Events.
type (
	// Tick only advances the time.
	Tick struct{}
	// ReadRequested requests an immediate read of the head.
	ReadRequested struct{}
	// MembersChanged replaces the set of known entry VMs.
	MembersChanged struct{ VMs []platform.VM }
	// HeadRead is the result of a [ReadHead].
	HeadRead struct {
		Token    Token
		Revision uint64
	}
	// ReadFailed reports that a [ReadHead] failed.
	ReadFailed struct{ Token Token }
	// ListRead is the result of a [ReadList].
	ListRead struct {
		Token  Token
		Digest uint64
	}
	// ListFailed reports that a [ReadList] failed.
	ListFailed struct{ Token Token }
	// ListRejected reports that the list of an [AcceptList] could not be decoded.
	ListRejected struct{}
	// Applied reports that a [Fetch] or an [Apply] replaced the previous revision.
	Applied struct {
		Token    Token
		Revision uint64
	}
	// ApplyFailed reports that a [Fetch] or an [Apply] failed.
	ApplyFailed struct{ Token Token }
	// WaitRequested is a pull by a peer; [AnswerWait] answers it.
	WaitRequested struct {
		Token Token
		Args  WaitArgs
	}
	// WaitReplied is the result of a [Wait].
	WaitReplied struct {
		Token Token
		Reply WaitReply
	}
	// WaitFailed reports that a [Wait] failed.
	WaitFailed struct{ Token Token }
	// SurveyRequested is a survey by a peer; [AnswerSurvey] answers it.
	SurveyRequested struct {
		Token Token
		Args  SurveyArgs
	}
	// SurveyReplied is the result of a [Survey].
	SurveyReplied struct {
		Token Token
		Reply SurveyReply
	}
	// SurveyFailed reports that a [Survey] failed.
	SurveyFailed struct{ Token Token }
	// ConfirmRequested asks how far a revision is in force; [AnswerConfirm] answers it.
	ConfirmRequested struct {
		Token    Token
		Revision uint64
	}
	// NoticeReceived is a notice of an entry node that stops or serves.
	NoticeReceived struct{ Notice Notice }
	// StopOrdered reports that this node stops; [SendNotice] answers it.
	StopOrdered struct{ Token Token }
)

func (Tick) event()             {}
func (ReadRequested) event()    {}
func (MembersChanged) event()   {}
func (HeadRead) event()         {}
func (ReadFailed) event()       {}
func (ListRead) event()         {}
func (ListFailed) event()       {}
func (ListRejected) event()     {}
func (Applied) event()          {}
func (ApplyFailed) event()      {}
func (WaitRequested) event()    {}
func (WaitReplied) event()      {}
func (WaitFailed) event()       {}
func (SurveyRequested) event()  {}
func (SurveyReplied) event()    {}
func (SurveyFailed) event()     {}
func (ConfirmRequested) event() {}
func (NoticeReceived) event()   {}
func (StopOrdered) event()      {}
