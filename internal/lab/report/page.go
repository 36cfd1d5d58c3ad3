// Package report writes the results of an experiment as one self-contained HTML
// file with inline plots and without links or scripts, which is readable on a
// phone and in print.
package report

import (
	_ "embed" // for the page's template
	"html/template"
	"io"
)

//go:embed page.html.tmpl
var pageSource string

var pageTemplate = template.Must(template.New("page").Parse(pageSource))

// Page is the content of a report.
type Page struct {
	Title         string
	Subtitle      string
	InvalidReason string // why the results are not valid; empty: they are valid
	Claims        []Row
	Context       []Row // measured figures without a claim
	Plots         []Plot
	Tables        []Table
	Notes         []string
}

// Row is a measured figure with the bound that a claim sets for it, if any.
type Row struct {
	Name     string
	Bound    string
	Measured string
	Unit     string
	Passed   bool
}

// Table is a table with its own header.
type Table struct {
	Header []string
	Rows   [][]string
}

// Write writes the page as HTML. It returns an error if a plot can't be drawn.
func (p *Page) Write(w io.Writer) error {
	data := struct {
		*Page
		SVGs []template.HTML
	}{Page: p}
	for i := range p.Plots {
		svg, err := p.Plots[i].SVG()
		if err != nil {
			return err
		}
		data.SVGs = append(data.SVGs, svg)
	}
	return pageTemplate.Execute(w, data)
}
