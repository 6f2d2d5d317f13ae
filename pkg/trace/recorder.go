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
	// recorderQueue is the number of events that wait for the writer. Further ones are dropped and counted, because
	// recording must not delay requests.
	recorderQueue = 4096
	// flushPeriod bounds the loss when the process ends abruptly.
	flushPeriod = time.Second
)

// Recorder writes events to w from one worker.
type Recorder struct {
	// Dropped counts the events that did not fit the queue or could not be written.
	Dropped atomic.Int64

	out     *bufio.Writer
	flushed time.Time
	writer  *pool.Pool[Event]
}

// NewRecorder returns a recorder that writes to w until Close.
func NewRecorder(w io.Writer) *Recorder {
	r := &Recorder{out: bufio.NewWriter(w)}
	r.writer = pool.New("trace", 1, recorderQueue, r.write)
	return r
}

// Record passes the event to the writer and does not wait.
func (r *Recorder) Record(e Event) {
	if r.writer.TrySubmit(e) != nil {
		r.Dropped.Add(1)
	}
}

// Close writes the waiting events. It returns the wrapped error of the writer. Record drops events after it.
func (r *Recorder) Close() error {
	r.writer.Close()
	return eris.Wrap(r.out.Flush(), "write trace")
}

func (r *Recorder) write(e Event) {
	if err := Write(r.out, e); err != nil {
		r.Dropped.Add(1)
		return
	}
	if e.At.Sub(r.flushed) >= flushPeriod {
		r.flushed = e.At
		// A write error stays in the buffered writer, which returns it from Close.
		_ = r.out.Flush()
	}
}

// Write appends the event to w as one line. It returns the wrapped error of w.
func Write(w io.Writer, e Event) error {
	return eris.Wrap(json.NewEncoder(w).Encode(fromEvent(e)), "write trace event")
}
