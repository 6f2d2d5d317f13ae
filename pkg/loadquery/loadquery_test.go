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

// Guards against JSON reports that cannot be read back, and HTML reports that need other files or fail to escape names.
func TestRender(t *testing.T) {
	report := sampleReport()
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
	t.Run("HTML contains its plots inline", func(t *testing.T) {
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
	t.Run("text has one line per rank", func(t *testing.T) {
		var b bytes.Buffer
		is := is.New(t)
		is.NoErr(WriteText(&b, report))
		is.Equal(strings.Count(b.String(), "\n"), 1+len(report.Ranks))
	})
	t.Run("a file that is not a report is rejected", func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "other.json")
		is := is.New(t)
		is.NoErr(os.WriteFile(path, []byte(`{"other":1}`), 0o600))
		_, err := Read(path)
		var rejected ReportError
		is.True(errors.As(err, &rejected))
	})
}

func sampleReport() load.Report {
	e := load.Experiment{
		Name:     "mix",
		Duration: 2 * time.Second,
		Flows:    []load.Flow{{Rank: "bookings"}, {Rank: "<archives>"}},
	}
	tally := load.NewTally(e)
	for i := range 20 {
		load.AddResult(tally, load.Result{
			Request: load.Request{FlowIndex: i % 2, SendOffset: time.Duration(i) * 100 * time.Millisecond},
			Class:   load.Answered,
			Latency: time.Duration(i) * time.Millisecond,
			Node:    "127.0.0.1:8001",
			Reply:   load.Reply{Digest: load.DigestMatches},
		})
	}
	load.AddResult(tally, load.Result{Class: load.NotRun, Reply: load.Reply{Reason: "queue full"}})
	return load.Summarize(tally, time.Unix(1000, 0).UTC())
}
