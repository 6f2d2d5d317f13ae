package http1

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"egretline.example/egretline/internal/decide/bytebudget"
)

// ByteAccount accounts the bytes that the node holds for one request.
type ByteAccount interface {
	// TryTake takes bytes if the byte budget of the node allows them.
	TryTake(d bytebudget.Direction, bytes int64) bool
	// Await takes bytes as soon as the budget allows them, and reports whether it took them before the context ended.
	Await(ctx context.Context, d bytebudget.Direction, bytes int64) bool
	// Release gives back bytes.
	Release(d bytebudget.Direction, bytes int64)
}

// Delivery passes the response to one request from the worker that reads it to the goroutine that writes it to the caller.
// The worker reads ahead of a slow caller while the byte budget allows it, and is free once it has read the whole response.
// Without bytes from the budget it holds a single piece and reads on when the caller has taken that.
type Delivery struct {
	Writer  http.ResponseWriter
	Account ByteAccount
	// Started is closed when the response headers are known. The goroutine that owns the writer then calls Run.
	Started chan struct{}

	status int
	header http.Header
	// readable has an element when the queue has changed since the writing goroutine looked at it, and progress when a piece
	// was taken from it since the worker looked.
	readable chan struct{}
	progress chan struct{}

	mu sync.Mutex // guards the fields below; no other lock is taken while it is held
	// pieces are the parts of the body that were read and that no one writes yet, and queuedBytes their length.
	pieces      []*piece
	queuedBytes int
	// lastProgress is when the caller was last sent a piece, or when the writing began.
	lastProgress time.Time
	// ended is set when no more pieces follow: the body is complete, or readErr is set.
	ended   bool
	readErr error
	// flush is set if the caller needs the end of the body before the exchange ends.
	flush bool
	// writeErr is set if the caller cannot be sent more.
	writeErr error
}

// piece is a part of a response body.
type piece struct {
	data []byte
	// heldBytes is what the account holds for the piece; zero if the budget did not allow it.
	heldBytes int64
	// buffer is the pooled buffer that holds the data; nil if the data has a buffer of its own.
	buffer *pieceBuffer
	// written is set once the caller has been sent the piece, and onWritten is called then; nil if no one waits for it.
	written   bool
	onWritten func()
}

// pieceBuffer is the memory of a piece.
type pieceBuffer [copyBufferBytes]byte

// slowCallerDuration is the time without progress after which a caller counts as slow. A caller that takes a piece in less
// reads 1.6 MB a second or more, and would not leave a response unread for long.
const slowCallerDuration = 20 * time.Millisecond

// maxFreeBuffers bounds the buffers that are kept for reuse.
const maxFreeBuffers = 32

// freeBuffers holds buffers for reuse. Unlike a sync.Pool, it does not lose them to the garbage collector during a transfer.
var freeBuffers = make(chan *pieceBuffer, maxFreeBuffers)

func newPiece() *piece {
	select {
	case b := <-freeBuffers:
		return &piece{buffer: b}
	default:
		return &piece{buffer: new(pieceBuffer)}
	}
}

func recycle(b *pieceBuffer) {
	select {
	case freeBuffers <- b:
	default:
	}
}

// NewDelivery returns the delivery of a response that has not started.
func NewDelivery(w http.ResponseWriter, a ByteAccount) *Delivery {
	return &Delivery{Writer: w, Account: a, Started: make(chan struct{})}
}

// start makes the response headers and the start of the body available to Run.
func (d *Delivery) start(status int, h http.Header, pieces []*piece) {
	d.status, d.header, d.pieces, d.lastProgress = status, h, pieces, time.Now()
	d.readable, d.progress = newSignal(), newSignal() // a request that waits in a queue does without
	for _, p := range pieces {
		d.queuedBytes += len(p.data)
	}
	close(d.Started)
}

// Run writes the response, and returns when it is written, when its caller cannot be sent more, or when the worker reports
// that the response is incomplete. It returns the error of the caller's connection. It does nothing before the start.
func (d *Delivery) Run() error {
	select {
	case <-d.Started:
	default:
		return nil
	}
	out := d.Writer.Header()
	for name, values := range d.header {
		out[name] = values
	}
	d.Writer.WriteHeader(d.status)
	for p := d.next(); p != nil; p = d.next() {
		_, err := d.Writer.Write(p.data)
		if err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
			d.fail(p, err)
			return err
		}
		d.finishPiece(p)
	}
	if d.flush {
		return http.NewResponseController(d.Writer).Flush()
	}
	return nil
}

// next waits for the next piece of the body, and returns nil after the last one.
func (d *Delivery) next() *piece {
	for {
		p, ended := d.pop()
		if p != nil || ended {
			return p
		}
		<-d.readable
	}
}

func (d *Delivery) pop() (p *piece, ended bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.readErr != nil || len(d.pieces) == 0 {
		return nil, d.ended
	}
	p = d.pieces[0]
	d.pieces[0] = nil
	d.pieces = d.pieces[1:]
	d.queuedBytes -= len(p.data)
	return p, false
}

// finishPiece gives back the bytes of a piece that was written.
func (d *Delivery) finishPiece(p *piece) {
	d.mu.Lock()
	p.written = true
	held := p.heldBytes
	d.lastProgress = time.Now()
	d.mu.Unlock()
	signal(d.progress)
	if p.onWritten != nil {
		p.onWritten()
	}
	if p.buffer != nil {
		recycle(p.buffer)
	}
	if held > 0 {
		d.Account.Release(bytebudget.Responses, held)
	}
}

// fail drops what is left of the response after a piece that could not be written.
func (d *Delivery) fail(p *piece, err error) {
	d.mu.Lock()
	d.writeErr = err
	left := append(d.pieces, p) //nolint:gocritic // the pieces are dropped
	d.pieces = nil
	d.mu.Unlock()
	signal(d.progress)
	for _, p := range left {
		if p.onWritten != nil {
			p.onWritten()
		}
	}
}

// end reports the end of the body. With an error, the response is incomplete and the rest is not written.
func (d *Delivery) end(err error, flush bool) {
	d.mu.Lock()
	d.ended, d.readErr, d.flush = true, err, flush
	d.mu.Unlock()
	signal(d.readable)
}

func newSignal() chan struct{} { return make(chan struct{}, 1) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// pace blocks while the caller takes the response fast and the queue is long. Reading further ahead would gain nothing then.
func (d *Delivery) pace(ctx context.Context) {
	for delay := d.paceDelay(); delay > 0 && ctx.Err() == nil; delay = d.paceDelay() {
		timer := time.NewTimer(delay)
		select {
		case <-d.progress:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// paceDelay returns the time after which a caller that takes nothing more counts as slow; zero if no wait is needed.
func (d *Delivery) paceDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.writeErr != nil || d.queuedBytes < maxBufferedResponseBytes {
		return 0
	}
	return slowCallerDuration - time.Since(d.lastProgress)
}

// add appends a piece, and blocks as long as the node may hold no more for this request. It returns the error of the caller's
// connection or the cause of the context's end.
func (d *Delivery) add(ctx context.Context, p *piece) error {
	d.pace(ctx)
	if d.joinLast(p) {
		return nil
	}
	if d.Account.TryTake(bytebudget.Responses, copyBufferBytes) {
		p.heldBytes = copyBufferBytes
		return d.push(p)
	}
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.onWritten = cancel
	if err := d.push(p); err != nil {
		return err
	}
	if d.Account.Await(waitCtx, bytebudget.Responses, copyBufferBytes) && !d.hold(p) {
		d.Account.Release(bytebudget.Responses, copyBufferBytes)
	}
	if err := d.callerError(); err != nil {
		return err
	}
	return context.Cause(ctx)
}

func (d *Delivery) push(p *piece) error {
	d.mu.Lock()
	err := d.writeErr
	if err == nil {
		d.pieces = append(d.pieces, p)
		d.queuedBytes += len(p.data)
	}
	d.mu.Unlock()
	signal(d.readable)
	return err
}

// joinLast copies a short piece into the free space of the last one that is not being written. A server that sends little at
// a time would otherwise fill the budget with buffers that are nearly empty.
func (d *Delivery) joinLast(p *piece) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.pieces) == 0 {
		return false
	}
	last := d.pieces[len(d.pieces)-1]
	if last.buffer == nil || len(last.data)+len(p.data) > len(last.buffer) {
		return false
	}
	last.data = append(last.data, p.data...)
	d.queuedBytes += len(p.data)
	recycle(p.buffer)
	return true
}

// hold records that the account holds the bytes of the piece. It returns false if the piece was written meanwhile.
func (d *Delivery) hold(p *piece) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.written {
		return false
	}
	p.heldBytes = copyBufferBytes
	return true
}

func (d *Delivery) callerError() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.writeErr
}
