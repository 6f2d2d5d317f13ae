package backend

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// assertRead reads up to n bytes for the attempt and compares them.
func assertRead(t *testing.T, a *attemptBody, n int, want string) {
	t.Helper()
	got, err := io.ReadAll(io.LimitReader(a, int64(n)))
	is.New(t).NoErr(err)
	is.New(t).True(string(got) == want)
}

// TestBodyPosition guards against a backend server that gets a body without its start, because the transport still reads
// for an attempt that has ended.
func TestBodyPosition(t *testing.T) {
	const keptBytes = MaxReplayBytes - 100
	kept, rest := strings.Repeat("a", keptBytes), strings.Repeat("b", 200)
	t.Run("an attempt fails if an earlier one has read on beyond what is kept", func(t *testing.T) {
		is := is.New(t)
		shared := &replayBody{source: strings.NewReader(kept + rest + "the end")}
		ended, current := &attemptBody{shared: shared}, &attemptBody{shared: shared}
		assertRead(t, ended, keptBytes, kept)
		is.True(!shared.isLost()) // another attempt starts
		assertRead(t, ended, len(rest), rest)
		n, err := current.Read(make([]byte, 100))
		is.Equal(n, 0)
		is.True(errors.As(err, &PositionError{}))
		assertRead(t, ended, 100, "the end")
	})
}
