// Package linewriter writes log lines to a stream without ever holding up the program that logs.
package linewriter

import (
	"io"
	"sync"
	"sync/atomic"
)

// capacity bounds the bytes that wait to be written. A line that does not fit is dropped and counted.
const capacity = 256 << 10

// Writer collects lines and writes them to the stream from one goroutine, all that wait in one call.
type Writer struct {
	// Dropped counts the lines that did not fit.
	Dropped atomic.Int64

	out     io.Writer
	mu      sync.Mutex
	waiting []byte
	spare   []byte
	wake    chan struct{}
	done    chan struct{}
	closed  bool
}

// New returns a writer to the stream. Close ends its goroutine.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line. It never blocks on the stream and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.waiting)+len(line) > capacity {
		w.Dropped.Add(1)
		return len(line), nil
	}
	w.waiting = append(w.waiting, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes what waits and ends the goroutine.
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
	lines := w.waiting
	w.waiting = w.spare[:0]
	w.mu.Unlock()
	if len(lines) > 0 {
		_, _ = w.out.Write(lines) // there is nowhere left to report a failed log stream
	}
	w.spare = lines
}
