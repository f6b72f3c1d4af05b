package modelapi

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lichenshelf/conffile"
)

// drawText draws the text of a configuration file with some of the keys of a struct, at any depth.
// Lists have up to maxTables tables.
func drawText(rt *rapid.T, kind reflect.Type, table string) string {
	const maxTables = 3
	var values, tables strings.Builder
	for i := range kind.NumField() {
		field := kind.Field(i)
		key := field.Tag.Get("toml")
		if !rapid.Bool().Draw(rt, "has "+table+key) {
			continue
		}
		switch n := rapid.IntRange(1, 9).Draw(rt, key); {
		case field.Type == reflect.TypeFor[duration]():
			fmt.Fprintf(&values, "%s = \"%ds\"\n", key, n)
		case field.Type.Kind() == reflect.Slice:
			for range n % (maxTables + 1) {
				fmt.Fprintf(&tables, "[[%s]]\n%s", key, drawText(rt, field.Type.Elem(), key+"."))
			}
		case field.Type.Kind() == reflect.Struct:
			fmt.Fprintf(&tables, "[%s]\n%s", key, drawText(rt, field.Type, key+"."))
		case field.Type.Kind() == reflect.String:
			fmt.Fprintf(&values, "%s = \"text%d\"\n", key, n)
		case field.Type.Kind() == reflect.Bool:
			fmt.Fprintf(&values, "%s = true\n", key)
		case field.Type.Kind() == reflect.Float64:
			fmt.Fprintf(&values, "%s = %d.5\n", key, n)
		case field.Type.Kind() == reflect.Int, field.Type.Kind() == reflect.Int64:
			fmt.Fprintf(&values, "%s = %d\n", key, n)
		default:
			rt.Fatalf("no values for %s of type %v", key, field.Type)
		}
	}
	return values.String() + tables.String()
}

// parsed decodes texts one after the other into an empty configuration. A list that a text sets
// replaces the one before as a whole.
func parsed(t require.TestingT, texts ...string) Config {
	var merged Config
	for _, text := range texts {
		before := merged
		fields, earlier := reflect.ValueOf(&merged).Elem(), reflect.ValueOf(before)
		for i := range fields.NumField() {
			if fields.Field(i).Kind() == reflect.Slice {
				fields.Field(i).SetZero()
			}
		}
		_, err := conffile.Parse("text", text, &merged)
		require.NoError(t, err)
		for i := range fields.NumField() {
			if field := fields.Field(i); field.Kind() == reflect.Slice && field.IsNil() {
				field.Set(earlier.Field(i))
			}
		}
	}
	return merged
}

// Guards against routers that acknowledge a version and serve with the accounts of another one: a
// text that was decoded over a copy of a configuration changed the accounts of all of its copies,
// and the accounts that it set kept fields of those before them. Each text, decoded over the file's
// configuration after others, must give what it gives alone, and change no earlier result.
func TestOverrideLeavesOtherConfigurationsAsTheyAre(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fileText := drawText(rt, reflect.TypeFor[Config](), "")
		file := parsed(rt, fileText)
		file.Listen = "" // without an address the values are not checked
		var results, want []Config
		for range rapid.IntRange(1, 3).Draw(rt, "texts") {
			text := drawText(rt, reflect.TypeFor[Config](), "")
			next := file
			require.NoError(rt, next.Override(text))
			expected := parsed(rt, fileText, text)
			expected.Listen, expected.Backends = "", parsed(rt, fileText).Backends
			results, want = append(results, next), append(want, expected)
			require.Equal(rt, want, results)
			unchanged := parsed(rt, fileText)
			unchanged.Listen = ""
			require.Equal(rt, unchanged, file)
		}
	})
}
