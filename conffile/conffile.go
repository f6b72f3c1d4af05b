// Package conffile reads configuration files. Errors in the project's TOML files name their
// position: file, line, key and value.
package conffile

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// File is a configuration file that has been read.
type File struct {
	Path string
	text string
}

// Read decodes a file into a struct. A key without a field in the struct is an error: a misspelt
// setting must not be treated as missing.
func Read(path string, into any) (*File, error) {
	text, err := ReadText(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, string(text), into)
}

// Parse decodes a text as Read does; path is the name of its file.
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
		return nil, f.unknownKey(unknown[0])
	}
	return f, nil
}

// unknownKey returns the error for a key that the decoder reports without array indexes, with the
// key's first line.
func (f *File) unknownKey(key toml.Key) error {
	name := strings.Join(key, ".")
	index := regexp.MustCompile(`\[\d+\]`)
	line := 0
	for at, n := range findLines(f.text) {
		if index.ReplaceAllString(at, "") == name && (line == 0 || n < line) {
			line = n
		}
	}
	return fmt.Errorf("%s:%d: unknown key %s", f.Path, line, name)
}

// ValueError returns the error for an invalid value of a key, such as "source[2].servers". For a
// missing key it names the line of the enclosing table.
func (f *File) ValueError(key string, value any, reason string) error {
	if d, ok := value.(Duration); ok {
		value = d.Duration
	}
	lines := findLines(f.text)
	at, line := key, 0
	for line = lines[at]; line == 0 && strings.Contains(at, "."); line = lines[at] {
		at = at[:strings.LastIndexByte(at, '.')]
	}
	if line == 0 {
		return fmt.Errorf("%s: %s = %#v: %s", f.Path, key, value, reason)
	}
	return fmt.Errorf("%s:%d: %s = %v: %s", f.Path, line, key, quoted(value), reason)
}

func quoted(value any) any {
	if s, ok := value.(string); ok {
		return fmt.Sprintf("%q", s)
	}
	return value
}

// findLines returns the line of each key and table; members of arrays are numbered from 0. It runs
// only when an error is reported, so that a start does not pay for it. It supports tables and bare
// keys, which is all that the project's files use; other syntax only costs the line number in a
// message.
func findLines(text string) map[string]int {
	header := regexp.MustCompile(`^\s*(\[\[?)\s*([A-Za-z0-9_.-]+)\s*\]`)
	assignment := regexp.MustCompile(`^\s*([A-Za-z0-9_.-]+)\s*=`)
	lines := map[string]int{}
	counts := map[string]int{}
	table := ""
	for i, line := range strings.Split(text, "\n") {
		if m := header.FindStringSubmatch(line); m != nil {
			table = indexedName(m[2], counts, m[1] == "[[")
			lines[table] = i + 1
		} else if m := assignment.FindStringSubmatch(line); m != nil {
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

// indexedName adds array indexes to a table's name: for the last part the index of a new member if
// it is an array, for the parts before it the index of the current member.
func indexedName(name string, counts map[string]int, array bool) string {
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

// Duration is a non-negative time span in a file, such as "250ms".
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
