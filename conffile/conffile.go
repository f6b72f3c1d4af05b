// Package conffile reads configuration files, and of the project's TOML files says of what it does not
// like where that stands: file, line, key and value.
package conffile

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// File is a file that has been read.
type File struct {
	Path string
	text string
}

// Read decodes a file into a struct. A key that the struct lacks is an error:
// a setting that is misspelt must not count as left out.
func Read(path string, into any) (*File, error) {
	text, err := ReadText(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, string(text), into)
}

// Parse does as Read with a text of the given name.
func Parse(path, text string, into any) (*File, error) {
	f := &File{Path: path, text: text}
	meta, err := toml.Decode(text, into)
	var fault toml.ParseError
	if errors.As(err, &fault) {
		key := ""
		if fault.LastKey != "" {
			key = "key " + fault.LastKey + ": "
		}
		return nil, fmt.Errorf("%s:%d: %s%s", path, fault.Position.Line, key, fault.Message)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, f.unknown(unknown[0])
	}
	return f, nil
}

// unknown finds the line of a key that the decoder names without its numbers.
func (f *File) unknown(key toml.Key) error {
	name := strings.Join(key, ".")
	index := regexp.MustCompile(`\[\d+\]`)
	line := 0
	for at, n := range locate(f.text) {
		if index.ReplaceAllString(at, "") == name && (line == 0 || n < line) {
			line = n
		}
	}
	return fmt.Errorf("%s:%d: unknown key %s", f.Path, line, name)
}

// Bad is the error that a key's value makes no sense, such as of
// "source[2].servers". A key that is left out is told at the line of its table.
func (f *File) Bad(key string, value any, why string) error {
	if d, ok := value.(Duration); ok {
		value = d.Duration
	}
	lines := locate(f.text)
	at, line := key, 0
	for line = lines[at]; line == 0 && strings.Contains(at, "."); line = lines[at] {
		at = at[:strings.LastIndexByte(at, '.')]
	}
	if line == 0 {
		return fmt.Errorf("%s: %s = %#v: %s", f.Path, key, value, why)
	}
	return fmt.Errorf("%s:%d: %s = %v: %s", f.Path, line, key, quoted(value), why)
}

func quoted(value any) any {
	if s, ok := value.(string); ok {
		return fmt.Sprintf("%q", s)
	}
	return value
}

// locate finds the lines of all keys and tables; members of arrays are numbered
// from 0. It runs only for an error, so that a start doesn't pay for it. It reads what our files are made of, tables
// and bare keys; lines are for messages only, so what it misses costs a number.
func locate(text string) map[string]int {
	header := regexp.MustCompile(`^\s*(\[\[?)\s*([A-Za-z0-9_.-]+)\s*\]`)
	setter := regexp.MustCompile(`^\s*([A-Za-z0-9_.-]+)\s*=`)
	lines := map[string]int{}
	counts := map[string]int{}
	table := ""
	for i, line := range strings.Split(text, "\n") {
		if m := header.FindStringSubmatch(line); m != nil {
			table = numbered(m[2], counts, m[1] == "[[")
			lines[table] = i + 1
		} else if m := setter.FindStringSubmatch(line); m != nil {
			key := m[1]
			if table != "" {
				key = table + "." + key
			}
			if lines[key] == 0 {
				lines[key] = i + 1
			}
		}
	}
	return lines
}

// numbered writes the numbers of arrays into a table's name: a new member of the
// last part's array if it is one, the current one of those before.
func numbered(name string, counts map[string]int, array bool) string {
	parts := strings.Split(name, ".")
	out := ""
	for i, part := range parts {
		if out != "" {
			out += "."
		}
		out += part
		if i == len(parts)-1 && array {
			counts[out]++
		}
		if n := counts[out]; n > 0 {
			out += fmt.Sprintf("[%d]", n-1)
		}
	}
	return out
}

// Duration is a time span in a file, such as "250ms". It is never negative.
type Duration struct{ time.Duration }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err == nil && v < 0 {
		err = fmt.Errorf("time span %q is negative", text)
	}
	d.Duration = v
	return err
}
