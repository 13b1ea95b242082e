package trial

import (
	"fmt"
	"io"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Seeds is the number of seeds, counted from 1, over which Run averages.
const Seeds = 8

// Row is the mean outcome of a policy on a trace.
type Row struct {
	Customer, Trace, Policy string
	Goodput, Changes        float64
}

// Compare runs all policies on all traces for all customers and averages over the seeds.
func Compare(seeds int) []Row {
	var rows []Row
	for _, c := range Customers() {
		for _, tr := range Traces() {
			for _, p := range Policies() {
				rows = append(rows, meanRow(c, tr, p, seeds))
			}
		}
	}
	return rows
}

func meanRow(c Customer, tr Trace, p Policy, seeds int) Row {
	row := Row{Customer: c.Name, Trace: tr.Name, Policy: p.Name}
	for seed := 1; seed <= seeds; seed++ {
		r := Simulate(c, tr, p, uint64(seed))
		row.Goodput += r.Goodput / float64(seeds)
		row.Changes += float64(r.Changes) / float64(seeds)
	}
	return row
}

// Run prints a table of goodput and number of role changes. With a plotPath, it also plots the goodput per minute of
// the first customer on the step trace; the file extension selects the format, such as png or svg.
func Run(w io.Writer, plotPath string) error { return run(w, plotPath, Seeds) }

func run(w io.Writer, plotPath string, seeds int) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "customer\ttrace\tpolicy\tgoodput %\tchanges\t")
	for _, r := range Compare(seeds) {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%.2f\t%.1f\t\n", r.Customer, r.Trace, r.Policy, 100*r.Goodput, r.Changes)
	}
	if err := tw.Flush(); err != nil {
		return &Error{Op: "print", Kind: KindOutput, Err: err}
	}
	if plotPath == "" {
		return nil
	}
	return draw(plotPath)
}

func draw(path string) error {
	c, tr := Customers()[0], Traces()[0]
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Goodput of %s, trace %s, seed 1", c.Name, tr.Name)
	p.X.Label.Text = "minute"
	p.Y.Label.Text = "requests served in time, %"
	p.Legend.Left = true
	for i, pol := range Policies() {
		r := Simulate(c, tr, pol, 1)
		points := make(plotter.XYs, len(r.Series))
		for j, v := range r.Series {
			points[j] = plotter.XY{X: float64(j), Y: 100 * v}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return &Error{Op: "plot", Kind: KindOutput, Err: err}
		}
		line.Dashes = [][]vg.Length{nil, {6, 3}, {2, 2}, {6, 2, 2, 2}}[i]
		line.Width = vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(fmt.Sprintf("%s (%d changes)", pol.Name, r.Changes), line)
	}
	if err := p.Save(16*vg.Centimeter, 9*vg.Centimeter, path); err != nil {
		return &Error{Op: "plot", Kind: KindOutput, Err: err}
	}
	return nil
}

// Kind classifies an Error.
type Kind string

// KindOutput marks a failure to print or to plot.
const KindOutput Kind = "output"

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("trial: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
