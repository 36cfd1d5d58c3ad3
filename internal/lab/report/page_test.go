package report

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"math"
	"regexp"
	"strings"
	"testing"
)

// The page has no references to other files, shows all parts of its content, and escapes
// characters that are special in HTML.
func TestPage(t *testing.T) {
	p := Page{Title: "silent <b>", Subtitle: "16 workers", Claims: []Row{{Name: "worth & more", Bound: "0.9", Measured: "0.8", Unit: "part"}},
		Context: []Row{{Name: "ideal", Measured: "1"}}, InvalidReason: "it was <ended>", Notes: []string{"one"}, Tables: []Table{{Header: []string{"size <x>"}, Rows: [][]string{{"5 & more"}}}},
		Plots: []Plot{{Title: "worth", XLabel: "s", YLabel: "part", Lines: []Line{{"real", []float64{0, 1, 2}, []float64{1, 0.5, 1}}, {"ideal", []float64{0, 2}, []float64{1, 1}}},
			Bands: []Band{{"silence", 0.5, 1.5}}}, {Title: "growth", LogX: true, Lines: []Line{{"cpu", []float64{12, 100, 1000}, []float64{1, 2, 3}}}}}}
	var b bytes.Buffer
	if err := p.Write(&b); err != nil {
		t.Fatal(err)
	}
	text := b.String()
	for _, want := range []string{"silent &lt;b&gt;", "worth &amp; more", "Void: it was &lt;ended&gt;", `class="no">no`, "<p>one</p>", "<th>size &lt;x&gt;</th>", "<td>5 &amp; more</td>", "silence"} {
		if !strings.Contains(text, want) {
			t.Errorf("page lacks %q", want)
		}
	}
	if n := strings.Count(text, "<svg"); n != 2 {
		t.Errorf("got %d plots, want 2", n)
	}
	if links := regexp.MustCompile(`(?i)<script|<link|<img|(src|href)=|url\(|@import`).FindString(text); links != "" {
		t.Errorf("page refers to an external resource: %s", links)
	}
	for _, svg := range regexp.MustCompile(`(?s)<svg.*?</svg>`).FindAllString(text, -1) {
		d := xml.NewDecoder(strings.NewReader(svg))
		for {
			if _, err := d.Token(); errors.Is(err, io.EOF) {
				break
			} else if err != nil {
				t.Fatal(err)
			}
		}
	}
	p.Plots[0].Lines[0].Y[1] = math.NaN()
	if err := p.Write(io.Discard); err == nil || !strings.Contains(err.Error(), "worth, real") {
		t.Errorf("plot with NaN: got error %v, want one that names the plot and the line", err)
	}
}
