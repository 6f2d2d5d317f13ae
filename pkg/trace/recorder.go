package trace

import (
	"bufio"
	"encoding/json"
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"egretline.example/egretline/pkg/pool"
)

const (
	// recorderQueueLength bounds the events that wait for the writer. Further ones are dropped and counted, because
	// recording must not delay requests.
	recorderQueueLength = 4096
	// flushInterval bounds the time span of events that are lost when the process crashes.
	flushInterval = time.Second
)

// Recorder writes events to a writer in the background.
type Recorder struct {
	// Dropped counts the events that didn't fit in the queue or couldn't be written.
	Dropped atomic.Int64

	out       *bufio.Writer
	lastFlush time.Time
	writer    *pool.Pool[Event]
}

// NewRecorder returns a recorder that writes to w until Close.
func NewRecorder(w io.Writer) *Recorder {
	r := &Recorder{out: bufio.NewWriter(w)}
	r.writer = pool.New("trace", 1, recorderQueueLength, r.write)
	return r
}

// Record queues the event. It doesn't block.
func (r *Recorder) Record(e Event) {
	if r.writer.TrySubmit(e) != nil {
		r.Dropped.Add(1)
	}
}

// Close writes the queued events and returns the wrapped error of the writer. Record drops events after Close.
func (r *Recorder) Close() error {
	r.writer.Close()
	return eris.Wrap(r.out.Flush(), "write trace")
}

func (r *Recorder) write(e Event) {
	if err := Write(r.out, e); err != nil {
		r.Dropped.Add(1)
		return
	}
	if e.At.Sub(r.lastFlush) >= flushInterval {
		r.lastFlush = e.At
		// A write error stays in the buffered writer, which returns it from Close.
		_ = r.out.Flush()
	}
}

// Write writes the event to w as one JSON line. It returns the wrapped error of w.
func Write(w io.Writer, e Event) error {
	return eris.Wrap(json.NewEncoder(w).Encode(toLine(e)), "write trace event")
}
