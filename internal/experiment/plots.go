package experiment

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// figure is one plot: a value of a cell over the load.
type figure struct {
	file  string
	title string
	value func(Cell) float64
}

var figures = []figure{
	{"latency-p50.png", "program latency p50, s", func(c Cell) float64 { return c.Latency.P50 }},
	{"latency-p95.png", "program latency p95, s", func(c Cell) float64 { return c.Latency.P95 }},
	{"slowdown-mean.png", "slowdown against the bound, mean", func(c Cell) float64 { return c.Slowdown.Mean }},
	{"wasted-cache.png", "wasted cache, share of prompt tokens", func(c Cell) float64 { return c.Wasted }},
}

// Plot writes PNG plots of the cells to a folder, named after the deployment.
func Plot(folder, deployment string, cells []Cell) error {
	for _, figure := range figures {
		drawing := plot.New()
		drawing.Title.Text = deployment + ": " + figure.title
		drawing.X.Label.Text = "load"
		drawing.Y.Min = 0
		var lines []any
		for _, policy := range policiesOf(cells) {
			lines = append(lines, policy, pointsOf(cells, policy, figure.value))
		}
		if err := plotutil.AddLinePoints(drawing, lines...); err != nil {
			return fmt.Errorf("experiment: plot %s: %w", figure.file, err)
		}
		path := filepath.Join(folder, deployment+"-"+figure.file)
		if err := drawing.Save(plotWidth, plotHeight, path); err != nil {
			return fmt.Errorf("experiment: plot %s: %w", figure.file, err)
		}
	}
	return nil
}

func policiesOf(cells []Cell) []string {
	var names []string
	seen := map[string]bool{}
	for _, cell := range cells {
		if !seen[cell.Policy] {
			seen[cell.Policy] = true
			names = append(names, cell.Policy)
		}
	}
	return names
}

func pointsOf(cells []Cell, policy string, value func(Cell) float64) plotter.XYs {
	var points plotter.XYs
	for _, cell := range cells {
		if cell.Policy == policy {
			points = append(points, plotter.XY{X: cell.Load, Y: value(cell)})
		}
	}
	return points
}
