package loadquery

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/load"
)

// Guards against reports that cannot be rendered later, and HTML reports that need other files or run tenant text.
func TestRender(t *testing.T) {
	report := sample()
	t.Run("JSON is read back unchanged", func(t *testing.T) {
		is := is.New(t)
		path := filepath.Join(t.TempDir(), "report.json")
		var b bytes.Buffer
		is.NoErr(WriteJSON(&b, report))
		is.NoErr(os.WriteFile(path, b.Bytes(), 0o600))
		back, err := Read(path)
		is.NoErr(err)
		is.Equal(back, report)
	})
	t.Run("HTML holds its plots", func(t *testing.T) {
		var b bytes.Buffer
		is := is.New(t)
		is.NoErr(WriteHTML(&b, report))
		is.Equal(strings.Count(b.String(), "<svg"), 2)
		is.True(!strings.Contains(b.String(), "<?xml"))
		is.True(!strings.Contains(b.String(), "src="))
	})
	t.Run("HTML escapes names", func(t *testing.T) {
		var b bytes.Buffer
		is := is.New(t)
		named := report
		named.Name = "<script>"
		is.NoErr(WriteHTML(&b, named))
		is.True(!strings.Contains(b.String(), "<script>"))
	})
	t.Run("text has a line for each rank", func(t *testing.T) {
		var b bytes.Buffer
		is := is.New(t)
		is.NoErr(WriteText(&b, report))
		is.Equal(strings.Count(b.String(), "\n"), 1+len(report.Ranks))
	})
	t.Run("another file is refused", func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "other.json")
		is := is.New(t)
		is.NoErr(os.WriteFile(path, []byte(`{"other":1}`), 0o600))
		_, err := Read(path)
		var refused ReportError
		is.True(errors.As(err, &refused))
	})
}

func sample() load.Report {
	e := load.Experiment{
		Name:     "mix",
		Duration: 2 * time.Second,
		Flows:    []load.Flow{{Rank: "bookings"}, {Rank: "<archives>"}},
	}
	tally := load.NewTally(e)
	for i := range 20 {
		load.Add(tally, load.Result{
			Request: load.Request{Flow: i % 2, At: time.Duration(i) * 100 * time.Millisecond},
			Class:   load.Answered,
			Latency: time.Duration(i) * time.Millisecond,
			Node:    "127.0.0.1:8001",
			Reply:   load.Reply{Digest: load.DigestMatches},
		})
	}
	load.Add(tally, load.Result{Class: load.NotRun, Reply: load.Reply{Reason: "queue full"}})
	return load.Summarize(tally, time.Unix(1000, 0).UTC())
}
