package figure

import (
	"bytes"
	"fmt"
	"math"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of a plot in points.
const (
	plotWidth  vg.Length = 480
	plotHeight vg.Length = 300
)

// Plot describes one plot: a line for each series of a data file.
type Plot struct {
	Name   string // name of the SVG file without its extension
	Data   string // name of the data file
	X, Y   string // columns of the data file
	LogX   bool
	LogY   bool
	Title  string
	XLabel string
	YLabel string
	Target float64 // drawn as a dotted line; zero draws none
}

// Plots returns the plots of the documentation.
func Plots() []Plot {
	const daemonsLabel, loadLabel = "daemons", "load, % of the slot capacity"
	return []Plot{
		{
			Name: "convergence", Data: "convergence.csv", X: "Daemons", Y: "SlowestMs", LogX: true, LogY: true,
			Title: "Convergence of one changed cap", XLabel: daemonsLabel, YLabel: "ms until the last daemon (dotted: target)", Target: 4000,
		},
		{
			Name: "control-mean", Data: "convergence.csv", X: "Daemons", Y: "MeanBytes", LogX: true, LogY: true,
			Title: "Control bytes, mean of the daemons", XLabel: daemonsLabel, YLabel: "B/s (dotted: target)", Target: 3000,
		},
		{
			Name: "control-highest", Data: "convergence.csv", X: "Daemons", Y: "HighestBytes", LogX: true, LogY: true,
			Title: "Control bytes, busiest daemon", XLabel: daemonsLabel, YLabel: "B/s (dotted: target)", Target: 3000,
		},
		{
			Name: "tail", Data: "tail.csv", X: "Load", Y: "P99Ms", LogY: true,
			Title: "p99 of short calls that succeeded", XLabel: loadLabel, YLabel: "ms",
		},
		{
			Name: "tail-added", Data: "tail.csv", X: "Load", Y: "AddedP99Ms", LogY: true,
			Title: "p99 of latency beyond the service time", XLabel: loadLabel, YLabel: "ms",
		},
		{
			Name: "tail-failed", Data: "tail.csv", X: "Load", Y: "FailedPercent",
			Title: "Short calls refused or cut", XLabel: loadLabel, YLabel: "% of the calls",
		},
	}
}

// SVG draws p from the data file at path. Its output is deterministic.
func (p Plot) SVG(path string) ([]byte, error) {
	out, err := p.newPlot(path)
	if err != nil {
		return nil, err
	}
	c := vgsvg.New(plotWidth, plotHeight)
	out.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return nil, fmt.Errorf("draw %s: %w", p.Name, err)
	}
	return b.Bytes(), nil
}

// newPlot reads the data file at path and sets up the lines, the legend and the axes of p.
func (p Plot) newPlot(path string) (*plot.Plot, error) {
	d, err := Load(path)
	if err != nil {
		return nil, err
	}
	names, lines, err := p.lines(path, d)
	if err != nil {
		return nil, err
	}
	out := plot.New()
	out.Title.Text, out.X.Label.Text, out.Y.Label.Text = p.Title, p.XLabel, p.YLabel
	out.Legend.Top, out.Legend.Left, out.Legend.Padding = true, true, vg.Points(2)
	out.Add(plotter.NewGrid())
	for i, name := range names {
		line, points, err := plotter.NewLinePoints(lines[name])
		if err != nil {
			return nil, fmt.Errorf("%s: series %s: %w", path, name, err)
		}
		line.Color, points.Color = plotutil.Color(i), plotutil.Color(i) //nolint:misspell // names of the library
		line.Dashes, points.Shape = plotutil.Dashes(i), plotutil.Shape(i)
		out.Add(line, points)
		out.Legend.Add(name, line, points)
	}
	if p.Target > 0 {
		target := plotter.NewFunction(func(float64) float64 { return p.Target })
		target.Dashes = []vg.Length{vg.Points(1), vg.Points(3)}
		out.Add(target)
		out.Y.Max = max(out.Y.Max, p.Target)
	}
	out.X.Tick.Marker = ticks(names, lines)
	if p.LogX {
		out.X.Scale = plot.LogScale{}
	}
	if p.LogY {
		out.Y.Scale, out.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		// LogTicks labels powers of ten only: round outwards to them, so that at least two are on the axis.
		out.Y.Min = math.Pow(10, math.Floor(math.Log10(out.Y.Min)))
		out.Y.Max = math.Pow(10, math.Ceil(math.Log10(out.Y.Max)))
	}
	return out, nil
}

// ticks returns one tick for each distinct X value of the lines.
func ticks(names []string, lines map[string]plotter.XYs) plot.ConstantTicks {
	seen := map[float64]bool{}
	var out plot.ConstantTicks
	for _, name := range names {
		for _, xy := range lines[name] {
			if !seen[xy.X] {
				seen[xy.X] = true
				out = append(out, plot.Tick{Value: xy.X, Label: strconv.FormatFloat(xy.X, 'f', -1, 64)})
			}
		}
	}
	return out
}

// lines returns the names of the series in file order and the points of each series.
func (p Plot) lines(path string, d *Data) ([]string, map[string]plotter.XYs, error) {
	x, y := d.column(p.X), d.column(p.Y)
	if x < 0 || y < 0 {
		return nil, nil, fmt.Errorf("%s:1: %w: columns %s and %s are required", path, ErrData, p.X, p.Y)
	}
	var names []string
	lines := map[string]plotter.XYs{}
	for _, r := range d.Rows {
		if (p.LogX && r.Values[x] <= 0) || (p.LogY && r.Values[y] <= 0) {
			return nil, nil, fmt.Errorf("%s:%d: %w: a logarithmic axis needs values above 0", path, r.line, ErrData)
		}
		if lines[r.Series] == nil {
			names = append(names, r.Series)
		}
		lines[r.Series] = append(lines[r.Series], plotter.XY{X: r.Values[x], Y: r.Values[y]})
	}
	return names, lines, nil
}
