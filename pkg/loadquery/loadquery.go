// Package loadquery renders reports of load experiments: as JSON, as text, and as one HTML file with SVG plots that
// needs no other file.
package loadquery

import (
	"bytes"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"egretline.example/egretline/pkg/load"
)

// ReportError reports a file that is not a report of a load experiment.
type ReportError struct {
	Path   string
	Remedy string
}

func (e ReportError) Error() string { return fmt.Sprintf("%s: %s", e.Path, e.Remedy) }

// Read returns the report in the JSON file. It returns ReportError if the file is not a report.
func Read(path string) (load.Report, error) {
	contents, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return load.Report{}, eris.Wrap(err, "read report")
	}
	var r load.Report
	d := json.NewDecoder(bytes.NewReader(contents))
	d.DisallowUnknownFields()
	if err := d.Decode(&r); err != nil {
		return load.Report{}, ReportError{Path: path, Remedy: "not a JSON report of egretline load: " + err.Error()}
	}
	return r, nil
}

// WriteJSON writes the report as indented JSON, which Read understands.
func WriteJSON(w io.Writer, r load.Report) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return eris.Wrap(e.Encode(r), "write report")
}

// WriteText writes a table with a line for each rank.
func WriteText(w io.Writer, r load.Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	header := "rank\toffered\tgoodput\tp50 ms\tp99 ms"
	for _, c := range load.Classes {
		header += "\t" + string(c)
	}
	if _, err := fmt.Fprintln(t, header); err != nil {
		return eris.Wrap(err, "write report")
	}
	for _, k := range r.Ranks {
		line := fmt.Sprintf("%s\t%d\t%.2f%%\t%.1f\t%.1f", k.Rank, k.Offered, 100*k.Goodput, latency(k, 50), latency(k, 99))
		for _, c := range k.Classes {
			line += fmt.Sprintf("\t%d", c.Count)
		}
		if _, err := fmt.Fprintln(t, line); err != nil {
			return eris.Wrap(err, "write report")
		}
	}
	return eris.Wrap(t.Flush(), "write report")
}

func latency(k load.RankReport, percentile float64) float64 {
	for _, q := range k.Latency {
		if q.Percentile == percentile {
			return q.Milliseconds
		}
	}
	return 0
}

// page is what the HTML template shows.
type page struct {
	Report  load.Report
	Started string
	Classes []load.Class
	Rate    template.HTML
	Latency template.HTML
}

// WriteHTML writes the report as one HTML file with its plots inside.
func WriteHTML(w io.Writer, r load.Report) error {
	rate, err := ratePlot(r)
	if err != nil {
		return err
	}
	curve, err := latencyPlot(r)
	if err != nil {
		return err
	}
	p := page{
		Report:  r,
		Started: r.Started.UTC().Format(time.RFC3339),
		Classes: load.Classes,
		Rate:    template.HTML(rate),  //nolint:gosec // made by the plot library, which escapes text
		Latency: template.HTML(curve), //nolint:gosec // made by the plot library, which escapes text
	}
	return eris.Wrap(htmlPage.Execute(w, p), "write HTML report")
}

var htmlPage = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": func(f float64) string { return fmt.Sprintf("%.2f%%", 100*f) },
	"at":      func(k load.RankReport, p float64) string { return fmt.Sprintf("%.1f", latency(k, p)) },
}).Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Load report {{.Report.Name}}</title>
<style>
body { font-family: sans-serif; margin: 2em; max-width: 70em; }
table { border-collapse: collapse; margin-bottom: 2em; }
th, td { border: 1px solid #bbb; padding: 0.3em 0.6em; text-align: right; }
th:first-child, td:first-child { text-align: left; }
svg { max-width: 100%; height: auto; }
</style>
</head>
<body>
<h1>Load report {{.Report.Name}}</h1>
<p>Started {{.Started}}, {{.Report.Seconds}} s, seed {{.Report.Seed}}. Latency counts from the intended send time.
Goodput counts requests answered within the target of their flow.</p>
<h2>Ranks</h2>
<table>
<tr><th>rank</th><th>offered</th><th>goodput</th><th>p50 ms</th><th>p99 ms</th><th>p99.9 ms</th>
{{range .Classes}}<th>{{.}}</th>{{end}}</tr>
{{range .Report.Ranks}}<tr><td>{{.Rank}}</td><td>{{.Offered}}</td><td>{{percent .Goodput}}</td>
<td>{{at . 50.0}}</td><td>{{at . 99.0}}</td><td>{{at . 99.9}}</td>{{range .Classes}}<td>{{.Count}}</td>{{end}}</tr>
{{end}}</table>
<h2>Offered and good requests by second</h2>
{{.Rate}}
<h2>Latency of answered requests</h2>
{{.Latency}}
<h2>Nodes</h2>
<table>
<tr><th>node</th>{{range .Classes}}<th>{{.}}</th>{{end}}</tr>
{{range .Report.Nodes}}<tr><td>{{.Address}}</td>{{range .Classes}}<td>{{.Count}}</td>{{end}}</tr>
{{end}}</table>
<h2>Reasons of refusals</h2>
<table>
<tr><th>reason</th><th>requests</th></tr>
{{range .Report.Reasons}}<tr><td>{{.Reason}}</td><td>{{.Count}}</td></tr>
{{end}}</table>
</body>
</html>
`))
