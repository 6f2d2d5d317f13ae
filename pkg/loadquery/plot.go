package loadquery

import (
	"bytes"
	"math"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"egretline.example/egretline/pkg/load"
)

// Size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// maxPlottedPercentile is the right end of the latency plot. Its logarithmic axis cannot show 100.
const maxPlottedPercentile = 99.99

// ratePlot renders requests per second of each rank: offered as a dashed line, goodput as a solid line.
func ratePlot(r load.Report) ([]byte, error) {
	p := plot.New()
	p.X.Label.Text = "seconds since the start"
	p.Y.Label.Text = "requests a second"
	p.Y.Min = 0
	p.Legend.Top = true
	for i, k := range r.Ranks {
		var offered, good plotter.XYs
		for _, s := range k.Series {
			offered = append(offered, plotter.XY{X: float64(s.Second), Y: float64(s.Offered)})
			good = append(good, plotter.XY{X: float64(s.Second), Y: float64(s.Good)})
		}
		if err := addLine(p, k.Rank+" offered", offered, i, 1); err != nil {
			return nil, err
		}
		if err := addLine(p, k.Rank+" good", good, i, 0); err != nil {
			return nil, err
		}
	}
	return render(p)
}

// latencyPlot renders latency by percentile. The x axis is logarithmic, one step per additional nine, to show the tail.
func latencyPlot(r load.Report) ([]byte, error) {
	p := plot.New()
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "milliseconds"
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	p.X.Tick.Marker = plot.ConstantTicks{
		{Value: nines(0), Label: "0"}, {Value: nines(90), Label: "90"}, {Value: nines(99), Label: "99"},
		{Value: nines(99.9), Label: "99.9"}, {Value: nines(99.99), Label: "99.99"},
	}
	for i, k := range r.Ranks {
		var points plotter.XYs
		for _, q := range k.Latency {
			if q.Percentile <= maxPlottedPercentile {
				points = append(points, plotter.XY{X: nines(q.Percentile), Y: q.Milliseconds})
			}
		}
		if err := addLine(p, k.Rank, points, i, 0); err != nil {
			return nil, err
		}
	}
	return render(p)
}

// nines returns the position of a percentile on the logarithmic axis: 1 for the 90th, 2 for the 99th and so on.
func nines(percentile float64) float64 {
	return -math.Log10(1 - percentile/100)
}

func addLine(p *plot.Plot, name string, points plotter.XYs, color, dashes int) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return eris.Wrap(err, "plot "+name)
	}
	line.Color = plotutil.Color(color)
	line.Dashes = plotutil.Dashes(dashes)
	line.Width = vg.Points(1.5)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

func render(p *plot.Plot) ([]byte, error) {
	p.Add(plotter.NewGrid())
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return nil, eris.Wrap(err, "render plot")
	}
	// HTML does not allow the XML declaration in front of the svg element.
	_, svg, _ := bytes.Cut(b.Bytes(), []byte("?>"))
	return svg, nil
}
