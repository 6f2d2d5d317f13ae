// Package linewriter writes log lines to a stream without blocking the goroutines that log.
package linewriter

import (
	"io"
	"sync"
	"sync/atomic"
)

// maxPendingBytes bounds the bytes that are buffered for writing. Lines that do not fit are dropped and counted.
const maxPendingBytes = 256 << 10

// Writer buffers lines and writes them to the stream from a single goroutine, all buffered lines in one call.
type Writer struct {
	// DroppedLines counts the lines that were dropped because the buffer was full or the writer was closed.
	DroppedLines atomic.Int64

	out     io.Writer
	mu      sync.Mutex
	pending []byte
	spare   []byte
	wake    chan struct{}
	done    chan struct{}
	closed  bool
}

// New returns a writer to the stream. Close stops its goroutine.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers one line. It never blocks on the stream and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.pending)+len(line) > maxPendingBytes {
		w.DroppedLines.Add(1)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes the buffered lines and stops the goroutine.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.wake)
	}
	w.mu.Unlock()
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	for range w.wake {
		w.flush()
	}
	w.flush()
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines := w.pending
	w.pending = w.spare[:0]
	w.mu.Unlock()
	if len(lines) > 0 {
		_, _ = w.out.Write(lines) // a failure of the log stream cannot be logged
	}
	w.spare = lines
}
