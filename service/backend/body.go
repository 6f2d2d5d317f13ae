package backend

import (
	"io"
	"sync"
)

// MaxReplayBytes is the size up to which a request body is buffered for further attempts. A longer body is streamed and
// cannot be sent again, which bounds the memory per request.
const MaxReplayBytes = 64 << 10

// replayBody reads a caller's body once and serves it to several attempts. The transport may still read for an attempt
// that has ended. The lock covers reading and buffering together, so such a read takes no bytes away from the next
// attempt.
type replayBody struct {
	mu       sync.Mutex
	source   io.Reader
	buffered []byte
	// position is the number of bytes that were read from the source.
	position int
	tooLong  bool
	err      error
}

// isLost reports whether the body can no longer be sent from its start, because it was too long to buffer.
func (b *replayBody) isLost() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tooLong
}

func (b *replayBody) readAt(p []byte, offset int) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.tooLong && offset < len(b.buffered) {
		return copy(p, b.buffered[offset:]), nil
	}
	if offset != b.position {
		return 0, PositionError{Want: offset, Got: b.position}
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.source.Read(p)
	b.position += n
	b.err = err
	b.buffer(p[:n])
	return n, err
}

func (b *replayBody) buffer(p []byte) {
	if b.tooLong || len(b.buffered)+len(p) > MaxReplayBytes {
		b.tooLong = true
		b.buffered = nil
		return
	}
	b.buffered = append(b.buffered, p...)
}

// attemptBody reads the shared body from its start for one attempt. Its request has no GetBody, so the transport never
// replays it by itself.
type attemptBody struct {
	shared *replayBody
	offset int
}

func (a *attemptBody) Read(p []byte) (int, error) {
	n, err := a.shared.readAt(p, a.offset)
	a.offset += n
	return n, err
}

func (*attemptBody) Close() error { return nil }
