package linewriter

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// blockedStream is a stream whose writes block until it is released.
type blockedStream struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *blockedStream) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

func TestWriter(t *testing.T) {
	// Guards against a slow reader of the log blocking the node, and against an unbounded buffer.
	t.Run("a blocked stream does not block writers", func(t *testing.T) {
		is := is.New(t)
		out := &blockedStream{release: make(chan struct{})}
		w := New(out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		const lines = 4 * maxPendingBytes / 1024
		for range lines {
			n, err := w.Write(line)
			is.NoErr(err)
			is.Equal(n, len(line))
		}
		is.True(w.DroppedLines.Load() >= lines/2)
		close(out.release)
		w.Close()
		is.Equal(int64(out.got.Len()/1024), lines-w.DroppedLines.Load())
	})
	t.Run("all lines are written in order", func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		w := New(&out)
		for _, line := range []string{"a\n", "b\n", "c\n"} {
			_, err := w.Write([]byte(line))
			is.NoErr(err)
		}
		w.Close()
		is.Equal(out.String(), "a\nb\nc\n")
		is.Equal(w.DroppedLines.Load(), int64(0))
	})
}
