package backend

import (
	"io"
	"sync"
)

// ReplayLimit is the number of bytes of a request body that are kept for a further attempt. A longer body is streamed
// and cannot be sent again, which bounds the memory of a request.
const ReplayLimit = 64 << 10

// replayBody reads a caller's body once and serves it to several attempts. The transport may still read for an attempt
// that has ended, so all reads go through the lock and lose no bytes for the next attempt.
type replayBody struct {
	mu       sync.Mutex
	source   io.Reader
	kept     []byte
	overflow bool
	err      error
}

// lost says that the body cannot be sent again from its start.
func (b *replayBody) lost() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.overflow
}

func (b *replayBody) readAt(p []byte, offset int) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.overflow && offset < len(b.kept) {
		return copy(p, b.kept[offset:]), nil
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.source.Read(p)
	b.err = err
	b.keep(p[:n])
	return n, err
}

func (b *replayBody) keep(p []byte) {
	if b.overflow || len(b.kept)+len(p) > ReplayLimit {
		b.overflow = true
		b.kept = nil
		return
	}
	b.kept = append(b.kept, p...)
}

// attemptBody is the view of one attempt on the body. It has no GetBody, so the transport never replays it by itself.
type attemptBody struct {
	body   *replayBody
	offset int
}

func (a *attemptBody) Read(p []byte) (int, error) {
	n, err := a.body.readAt(p, a.offset)
	a.offset += n
	return n, err
}

func (*attemptBody) Close() error { return nil }
