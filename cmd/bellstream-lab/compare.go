package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"example.org/bellstream/internal/lab/experiments"
	"example.org/bellstream/internal/lab/pairedtest"
)

type compareCmd struct {
	A     string `arg:"" help:"First way: a program, or PROGRAM,without=WHAT; '.' is the one beside this."`
	B     string `arg:"" help:"Second way."`
	On    string `required:"" help:"Experiment." placeholder:"NAME"`
	Seeds int    `default:"5" help:"Seeds, each played by both ways in turn."`
	Seed  uint64 `help:"The first of them; 0 draws one."`
	Quick bool   `help:"Smaller, within 50 s each."`
	JSON  bool   `name:"json" help:"Print the comparison as JSON."`

	out string // folder for the experiments' files
}

// parseWay parses PROGRAM[,without=WHAT]. It returns an error if the program does not exist or the rest is malformed.
func parseWay(text string) (p experiments.Params, err error) {
	program, rest, more := strings.Cut(text, ",")
	if program != "." {
		p.Program = program
		if _, err := os.Stat(program); err != nil {
			return p, err
		}
	}
	what, ok := strings.CutPrefix(rest, "without=")
	if more && (!ok || what == "") {
		return p, fmt.Errorf("%q is not PROGRAM,without=WHAT", text)
	}
	p.Without = what
	return p, nil
}

// comparedFigure is a figure measured in both ways, with the result of the comparison.
type comparedFigure struct {
	Name string `json:"name"`
	Unit string `json:"unit"`
	pairedtest.Ratio
	Says string `json:"says"`
}

func (c *compareCmd) run(out io.Writer, log func(string, ...any)) error {
	e := experiments.Find(c.On)
	if e == nil {
		return fmt.Errorf("there is no experiment %q: see bellstream-lab list", c.On)
	}
	if c.Seeds < 1 || c.Seeds > 1000 {
		return fmt.Errorf("seeds: %d is not from 1 to 1000", c.Seeds)
	}
	if c.Seed == 0 {
		c.Seed = rand.Uint64() >> 12
	}
	var ways [2]experiments.Params
	for i, text := range []string{c.A, c.B} {
		var err error
		if ways[i], err = parseWay(text); err != nil {
			return err
		}
	}
	var names []comparedFigure
	figures := map[string]*[2][]float64{}
	for n := range c.Seeds {
		order := []int{0, 1}
		if n%2 == 1 { // alternates which way runs first, since the machine warms up
			order = []int{1, 0}
		}
		for _, i := range order {
			p := ways[i]
			p.Seed, p.Quick, p.Out = c.Seed+uint64(n), c.Quick, c.out
			log("seed %d, way %d of 2", p.Seed, i+1)
			r, err := e.Play(p)
			if err != nil {
				return err
			}
			if r.Void != "" {
				return fmt.Errorf("seed %d, way %d: void: %s", p.Seed, i+1, r.Void)
			}
			add := func(name, unit string, v float64) {
				if figures[name] == nil {
					figures[name] = &[2][]float64{}
					names = append(names, comparedFigure{Name: name, Unit: unit})
				}
				figures[name][i] = append(figures[name][i], v)
			}
			for _, x := range r.Claims {
				add(x.Name, x.Unit, x.Measured)
			}
			for _, x := range r.Beside {
				add(x.Name, x.Unit, x.Value)
			}
		}
	}
	names = slices.DeleteFunc(names, func(x comparedFigure) bool { f := figures[x.Name]; return len(f[0]) != len(f[1]) }) // removes figures that were not measured equally often in both ways
	for i := range names {
		x, err := pairedtest.Compare(figures[names[i].Name][0], figures[names[i].Name][1])
		if err != nil {
			return err
		}
		names[i].Ratio, names[i].Says = x, x.Conclusion()
	}
	if c.JSON {
		for i := range names { // JSON has no NaN or infinity
			if x := &names[i].Ratio; x.Pairs < 2 {
				x.Ratio, x.Low, x.High = 0, 0, 0
			}
		}
		return json.NewEncoder(out).Encode(names)
	}
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "%s, seeds %d to %d, second against first, 95%% confidence\n\nFIGURE\tFIRST\tSECOND\tRATIO\tFROM\tTO\tUNIT\tSECOND IS\n", c.On, c.Seed, c.Seed+uint64(c.Seeds)-1)
	for _, x := range names {
		fmt.Fprintf(t, "%s\t%.4g\t%.4g\t%.4g\t%.4g\t%.4g\t%s\t%s\n", x.Name, x.First, x.Second, x.Ratio.Ratio, x.Low, x.High, x.Unit, x.Says)
	}
	return t.Flush()
}

// runSeeds runs an experiment on several seeds and writes a table of the results of each claim. It reports whether all
// claims held on all seeds, and returns an error if a run fails or is void.
func runSeeds(e *experiments.Experiment, p experiments.Params, seeds int, out io.Writer) (held bool, err error) {
	type row struct {
		experiments.Claim
		all  []float64
		held int
	}
	var rows []*row
	first := p.Seed
	held = true
	for n := range seeds {
		p.Seed = first + uint64(n)
		r, err := e.Play(p)
		if err != nil {
			return false, err
		}
		held = held && r.Held
		if r.Void != "" {
			return false, fmt.Errorf("seed %d: void: %s", p.Seed, r.Void)
		}
		for _, c := range r.Claims {
			i := slices.IndexFunc(rows, func(x *row) bool { return x.Name == c.Name })
			if i < 0 {
				i = len(rows)
				rows = append(rows, &row{Claim: c})
			}
			if rows[i].all = append(rows[i].all, c.Measured); c.Held {
				rows[i].held++
			}
		}
	}
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "%s, seeds %d to %d\n\nCLAIM\tBOUND\tLEAST\tMEDIAN\tMOST\tUNIT\tHELD\n", e.Name, first, p.Seed)
	for _, x := range rows {
		slices.Sort(x.all)
		fmt.Fprintf(t, "%s\t%.4g\t%.4g\t%.4g\t%.4g\t%s\t%d of %d\n", x.Name, x.Bound, x.all[0], x.all[len(x.all)/2], x.all[len(x.all)-1], x.Unit, x.held, len(x.all))
	}
	return held, t.Flush()
}
