package upstream

import (
	"context"
	"time"

	"github.com/hickorybank/hickorybank/internal/notice"
)

// NoticeHandler handles what an upstream reports of itself in the headers of a response.
// at is the time at which the headers were received.
type NoticeHandler func(notices notice.Response, at time.Time)

type noticeHandlerKey struct{}

// WithNoticeHandler returns a context with a handler. Calls with this context pass the
// headers of each response to it, whatever the status.
func WithNoticeHandler(ctx context.Context, handle NoticeHandler) context.Context {
	return context.WithValue(ctx, noticeHandlerKey{}, handle)
}

// NoticeHandlerFrom returns the handler of a context, or nil if there is none.
func NoticeHandlerFrom(ctx context.Context) NoticeHandler {
	handle, _ := ctx.Value(noticeHandlerKey{}).(NoticeHandler)
	return handle
}
