package wire

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"lichenshelf/logic"
)

// Meaning is what the decisions make of a field of load reports.
type Meaning uint8

// The meanings that are understood. Others are passed over.
const (
	Other  Meaning = iota
	Memory         // share of a server's memory that is held, 0 to 1
	Unread         // prompt tokens that wait to be read or fetched, told in thousands
)

// Field is one field of a load report, by its name in the settings.
type Field struct {
	Name    string
	Meaning Meaning
}

// Columns are the fields of load reports in the order of the settings; none
// where servers do not report with their answers.
type Columns []Field

// Bounds of what a report may say. Reports are noisy, so a share may lie a little
// past 1; what lies past these makes no sense, and neither does the rest of its report.
const (
	mostShare  = 2.0
	mostUnread = 1e5 // thousands of tokens: more than an hour's reading
	mostText   = 1024
)

// ErrReport is what a report that can't be used wraps.
var ErrReport = errors.New("load report")

// Understands tells whether some field means something to the decisions.
func (c Columns) Understands() bool {
	for _, f := range c {
		if f.Meaning != Other {
			return true
		}
	}
	return false
}

// take puts the value of field i into a report.
func (c Columns) take(l *logic.Load, i int, v float64) {
	switch c[i].Meaning {
	case Memory:
		l.HasMemory, l.MemoryShare = true, v
	case Unread:
		l.HasUnread, l.UnreadToken = true, v*1000
	}
}

// Parse reads a report in its text form, name=value pairs joined with commas, as
// "x0=0.41,x1=3.2". Fields that the settings do not name are passed over, and a
// report may lack some. One with a field that is doubled, not a number, negative
// or past all sense counts for nothing, as nobody can tell what else in it is
// wrong; the error names the field and its value.
func (c Columns) Parse(text string) (logic.Load, error) {
	if len(text) > mostText {
		return logic.Load{}, fmt.Errorf("%w: %d bytes, %d at most", ErrReport, len(text), mostText)
	}
	var l logic.Load
	seen := make([]bool, len(c))
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		name, value = strings.TrimSpace(name), strings.TrimSpace(value)
		i := 0
		for i < len(c) && c[i].Name != name {
			i++
		}
		if i == len(c) {
			continue
		}
		if seen[i] {
			return logic.Load{}, fmt.Errorf("%w: %s stands twice, the second time as %.40q", ErrReport, name, value)
		}
		seen[i] = true
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(v) || v < 0 || v > c[i].Meaning.most() {
			return logic.Load{}, fmt.Errorf("%w: %s is %.40q, not a number from 0 to %g", ErrReport, name, value, c[i].Meaning.most())
		}
		c.take(&l, i, v)
	}
	return l, nil
}

// most is the largest value that makes sense.
func (m Meaning) most() float64 {
	switch m {
	case Memory:
		return mostShare
	case Unread:
		return mostUnread
	}
	return math.MaxFloat64
}

// columns says which report values this package can translate.
func (p *parser) columns() Columns {
	var out Columns
	for _, name := range p.list("load-info.columns") {
		f := Field{Name: name}
		switch text := p.values["extra.report-"+name]; {
		case strings.HasPrefix(text, "share_of_memory"):
			f.Meaning = Memory
		case strings.HasPrefix(text, "thousands_of_prompt_tokens"):
			f.Meaning = Unread
		}
		out = append(out, f)
	}
	return out
}
