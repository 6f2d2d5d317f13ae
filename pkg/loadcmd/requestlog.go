package loadcmd

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"egretline.example/egretline/pkg/load"
	"egretline.example/egretline/pkg/pool"
)

// maxQueuedLines bounds the queue of lines in front of the writer. Workers block while it is full.
const maxQueuedLines = 4096

// RequestLine is one line of the request log: a request and its result as the caller saw it. Checks compare it with the
// executions that backend servers recorded.
type RequestLine struct {
	Nonce          string     `json:"nonce"`
	Flow           string     `json:"flow"`
	Tenant         string     `json:"tenant"`
	Idempotent     bool       `json:"idempotent"`
	Class          load.Class `json:"class"`
	Status         int        `json:"status,omitempty"`
	Node           string     `json:"node,omitempty"`
	IdempotencyKey string     `json:"idempotency-key,omitempty"`
	Reason         string     `json:"reason,omitempty"`
	Detail         string     `json:"detail,omitempty"`
	// SendOffsetMs is the intended send time in milliseconds since the start of the run.
	SendOffsetMs float64 `json:"at-ms"`
	LatencyMs    float64 `json:"latency-ms"`
}

// RequestLog writes one JSON line for each result. A single worker does the writing, so no lock is held during I/O.
type RequestLog struct {
	experiment load.Experiment
	out        *bufio.Writer
	lines      *pool.Pool[RequestLine]
	err        error
}

// NewRequestLog returns a request log that writes to w. The caller must call Close to flush it.
func NewRequestLog(w io.Writer, e load.Experiment) *RequestLog {
	l := &RequestLog{experiment: e, out: bufio.NewWriter(w)}
	l.lines = pool.New("request-log", 1, maxQueuedLines, l.writeLine)
	return l
}

// Record queues the result for writing. It must not be called after Close.
func (l *RequestLog) Record(r load.Result) {
	f := l.experiment.Flows[r.Request.FlowIndex]
	line := RequestLine{
		Nonce:          r.Nonce,
		Flow:           f.Name,
		Tenant:         l.experiment.Tenants[r.Request.TenantIndex].Name,
		Idempotent:     f.Idempotent,
		Class:          r.Class,
		Status:         r.Reply.Status,
		Node:           r.Node,
		IdempotencyKey: r.IdempotencyKey,
		Reason:         r.Reply.Reason,
		Detail:         r.Detail,
		SendOffsetMs:   milliseconds(r.Request.SendOffset),
		LatencyMs:      milliseconds(r.Latency),
	}
	if err := l.lines.Submit(context.Background(), line); err != nil {
		return
	}
}

// Close writes and flushes all queued lines and returns the first write error.
func (l *RequestLog) Close() error {
	l.lines.Close()
	if l.err == nil {
		l.err = l.out.Flush()
	}
	return eris.Wrap(l.err, "write request log")
}

func (l *RequestLog) writeLine(line RequestLine) {
	if l.err == nil {
		l.err = json.NewEncoder(l.out).Encode(line)
	}
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
