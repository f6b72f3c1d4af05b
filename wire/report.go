package wire

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"lichenshelf/logic"
)

// Meaning says what a field of load reports measures.
type Meaning uint8

// The meanings of fields. Fields of meaning Other are ignored.
const (
	Other  Meaning = iota
	Memory         // share of a server's memory that is held, 0 to 1
	Unread         // prompt tokens that wait to be read or fetched, in thousands
)

// Field is one field of load reports, with its name in the settings.
type Field struct {
	Name    string
	Meaning Meaning
}

// Columns are the fields of load reports in the order of the settings. They are empty if servers do
// not report with their answers.
type Columns []Field

// Limits of load reports. Reports are noisy, so a share may slightly exceed 1. A report with a
// value beyond these limits is rejected as a whole.
const (
	maxShare           = 2.0
	maxUnreadThousands = 1e5 // thousands of tokens, which take more than an hour to read
	maxTextBytes       = 1024
)

// ErrReport is wrapped by the errors of malformed load reports.
var ErrReport = errors.New("load report")

// HasKnownField reports whether any field has a meaning other than Other.
func (c Columns) HasKnownField() bool {
	for _, f := range c {
		if f.Meaning != Other {
			return true
		}
	}
	return false
}

// take stores the value of field i in a report.
func (c Columns) take(l *logic.Load, i int, v float64) {
	switch c[i].Meaning {
	case Memory:
		l.HasMemory, l.MemoryShare = true, v
	case Unread:
		l.HasUnread, l.UnreadToken = true, v*1000
	}
}

// Parse parses a report in its text form, comma-separated name=value pairs such as
// "x0=0.41,x1=3.2". Fields that the settings do not name are ignored, and fields may be missing. A
// report with a field that is repeated, not a number, negative or out of range is rejected as a
// whole, since its other fields may be wrong as well. The error names the field and its value.
func (c Columns) Parse(text string) (logic.Load, error) {
	if len(text) > maxTextBytes {
		return logic.Load{}, fmt.Errorf("%w: %d bytes, at most %d allowed", ErrReport, len(text), maxTextBytes)
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
			return logic.Load{}, fmt.Errorf("%w: %s is repeated, the second time with value %.40q", ErrReport, name, value)
		}
		seen[i] = true
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(v) || v < 0 || v > c[i].Meaning.maxValue() {
			return logic.Load{}, fmt.Errorf("%w: %s is %.40q, not a number from 0 to %g", ErrReport, name, value, c[i].Meaning.maxValue())
		}
		c.take(&l, i, v)
	}
	return l, nil
}

// maxValue returns the largest accepted value.
func (m Meaning) maxValue() float64 {
	switch m {
	case Memory:
		return maxShare
	case Unread:
		return maxUnreadThousands
	}
	return math.MaxFloat64
}

// columns returns the fields of load reports, with the meanings that the settings state for them.
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
