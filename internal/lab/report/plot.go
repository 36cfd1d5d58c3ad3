package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Dimensions of a plot.
const (
	plotWidth  = 17 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	bandHeight = 1.05 // multiple of the highest value
)

// Plot shows curves in front of bands, which mark when faults were injected.
type Plot struct {
	Title  string
	XLabel string
	YLabel string
	Lines  []Line
	Bands  []Band
	LogX   bool
}

// Line is one curve. X and Y must have the same length.
type Line struct {
	Name string
	X    []float64
	Y    []float64
}

// Band is an interval of the X axis that is coloured behind the curves.
type Band struct {
	Name string
	From float64
	To   float64
}

var bandColor = color.RGBA{R: 0xf3, G: 0xe3, B: 0xc0, A: 0xff}

// lineColors and lineDashes are used in turn. The dashes distinguish the curves in prints
// without colour.
var lineColors = []color.RGBA{
	{R: 0x1b, G: 0x4f, B: 0x9c, A: 0xff},
	{R: 0xc0, G: 0x39, B: 0x2b, A: 0xff},
	{R: 0x2e, G: 0x7d, B: 0x32, A: 0xff},
	{R: 0x6a, G: 0x1b, B: 0x9a, A: 0xff},
	{R: 0x8d, G: 0x6e, B: 0x1f, A: 0xff},
}

var lineWidth = vg.Points(1.6)

var lineDashes = [][]vg.Length{
	nil,
	{vg.Points(6), vg.Points(3)},
	{vg.Points(2), vg.Points(2)},
	{vg.Points(8), vg.Points(2), vg.Points(2), vg.Points(2)},
}

// SVG returns the plot as an SVG element. It returns an error that names the plot if a
// value can't be drawn, such as NaN.
func (x *Plot) SVG() (template.HTML, error) {
	canvas := x.newCanvas()
	if err := x.addBands(canvas); err != nil {
		return "", err
	}
	if err := x.addLines(canvas); err != nil {
		return "", err
	}
	canvas.Y.Min = 0
	return renderSVG(canvas)
}

// newCanvas returns an empty plot with title, axes and grid.
func (x *Plot) newCanvas() *plot.Plot {
	canvas := plot.New()
	canvas.Title.Text = x.Title
	canvas.X.Label.Text = x.XLabel
	canvas.Y.Label.Text = x.YLabel
	canvas.Legend.Top = false
	canvas.Legend.Left = false
	canvas.Add(plotter.NewGrid())
	if x.LogX {
		canvas.X.Scale = plot.LogScale{}
		canvas.X.Tick.Marker = plot.LogTicks{Prec: -1}
	}
	return canvas
}

func (x *Plot) addBands(canvas *plot.Plot) error {
	top := x.maxY() * bandHeight
	for _, band := range x.Bands {
		area, err := plotter.NewPolygon(plotter.XYs{
			{X: band.From, Y: 0},
			{X: band.To, Y: 0},
			{X: band.To, Y: top},
			{X: band.From, Y: top},
		})
		if err != nil {
			return fmt.Errorf("plot %s: %w", x.Title, err)
		}
		area.Color = bandColor
		area.Width = 0
		canvas.Add(area)
		canvas.Legend.Add(band.Name, area)
	}
	return nil
}

// maxY returns the highest Y of all lines, at least 0. It ignores NaN, which addLines
// reports with the line's name.
func (x *Plot) maxY() float64 {
	highest := 0.0
	for _, line := range x.Lines {
		for _, y := range line.Y {
			if y > highest {
				highest = y
			}
		}
	}
	return highest
}

func (x *Plot) addLines(canvas *plot.Plot) error {
	for i, line := range x.Lines {
		curve, err := plotter.NewLine(line.points())
		if err != nil {
			return fmt.Errorf("plot %s, %s: %w", x.Title, line.Name, err)
		}
		curve.Color = lineColors[i%len(lineColors)]
		curve.Dashes = lineDashes[i%len(lineDashes)]
		curve.Width = lineWidth
		canvas.Add(curve)
		canvas.Legend.Add(line.Name, curve)
	}
	return nil
}

func (l *Line) points() plotter.XYs {
	points := make(plotter.XYs, len(l.X))
	for i := range l.X {
		points[i].X = l.X[i]
		points[i].Y = l.Y[i]
	}
	return points
}

// renderSVG returns the SVG element without the XML prolog, which HTML does
// not allow.
func renderSVG(canvas *plot.Plot) (template.HTML, error) {
	svg := vgsvg.New(plotWidth, plotHeight)
	canvas.Draw(draw.New(svg))
	var out bytes.Buffer
	if _, err := svg.WriteTo(&out); err != nil {
		return "", err
	}
	raw := out.Bytes()
	if start := bytes.Index(raw, []byte("<svg")); start > 0 {
		raw = raw[start:]
	}
	return template.HTML(raw), nil
}
