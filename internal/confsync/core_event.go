package confsync

import "github.com/hickorybank/hickorybank/internal/platform"

// Event is an input of [Core].
type Event interface{ event() }

// Token pairs a decision with the event that answers it.
type Token uint64

// The events.
type (
	// Tick lets time pass.
	Tick struct{}
	// Poked asks for a read of the head at once.
	Poked struct{}
	// MembersChanged gives the entry VMs known now.
	MembersChanged struct{ VMs []platform.VM }
	// HeadRead answers [ReadHead].
	HeadRead struct {
		Token    Token
		Revision uint64
	}
	// ReadFailed answers [ReadHead].
	ReadFailed struct{ Token Token }
	// ListRead answers [ReadList].
	ListRead struct {
		Token  Token
		Digest uint64
	}
	// ListFailed answers [ReadList].
	ListFailed struct{ Token Token }
	// ListTakeFailed answers [TakeList] when the list could not be decoded.
	ListTakeFailed struct{}
	// Applied says that a [Fetch] or an [Apply] made a revision replace the
	// one before.
	Applied struct {
		Token    Token
		Revision uint64
	}
	// ApplyFailed says that a [Fetch] or an [Apply] had no success.
	ApplyFailed struct{ Token Token }
	// WaitAsked is a peer's call; [AnswerWait] answers it.
	WaitAsked struct {
		Token Token
		Args  WaitArgs
	}
	// WaitReplied answers [Wait].
	WaitReplied struct {
		Token Token
		Reply WaitReply
	}
	// WaitFailed answers [Wait].
	WaitFailed struct{ Token Token }
	// SurveyAsked is a peer's call; [AnswerSurvey] answers it.
	SurveyAsked struct {
		Token Token
		Args  SurveyArgs
	}
	// SurveyReplied answers [Survey].
	SurveyReplied struct {
		Token Token
		Reply SurveyReply
	}
	// SurveyFailed answers [Survey].
	SurveyFailed struct{ Token Token }
	// ConfirmAsked asks how far a revision is in force; [AnswerConfirm]
	// answers it.
	ConfirmAsked struct {
		Token    Token
		Revision uint64
	}
	// NoticeHeard is the word of an entry node that stops or serves.
	NoticeHeard struct{ Notice Notice }
	// StopOrdered says that this node stops; [Tell] answers it.
	StopOrdered struct{ Token Token }
)

func (Tick) event()           {}
func (Poked) event()          {}
func (MembersChanged) event() {}
func (HeadRead) event()       {}
func (ReadFailed) event()     {}
func (ListRead) event()       {}
func (ListFailed) event()     {}
func (ListTakeFailed) event() {}
func (Applied) event()        {}
func (ApplyFailed) event()    {}
func (WaitAsked) event()      {}
func (WaitReplied) event()    {}
func (WaitFailed) event()     {}
func (SurveyAsked) event()    {}
func (SurveyReplied) event()  {}
func (SurveyFailed) event()   {}
func (ConfirmAsked) event()   {}
func (NoticeHeard) event()    {}
func (StopOrdered) event()    {}
