package modelapi

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"lichenshelf/discovery/membership"
)

// A batch is one request whose length is all that the model has to read for it.
func TestRerankCountsTheWholeBatch(t *testing.T) {
	p, err := rerank([]byte(`{"model":"m","query":"12345678","documents":["1234",{"text":"12345678"}]}`))
	require.NoError(t, err)
	require.Equal(t, classRerank, p.Class)
	require.InDelta(t, 3+2+3+3, p.PromptTokens, 1e-9)
	require.False(t, p.stream)
}

func TestEmbeddingsTakesTextsAndTokens(t *testing.T) {
	for input, want := range map[string]float64{
		`"12345678"`: 3, `["1234","1234"]`: 4, `[1,2,3]`: 3, `[[1,2],[3]]`: 3,
	} {
		p, err := embeddings([]byte(`{"model":"m","input":` + input + `}`))
		require.NoError(t, err, input)
		require.InDelta(t, want, p.PromptTokens, 1e-9, input)
	}
	for _, input := range []string{`""`, `null`, `[]`, `[""]`, `["a",1]`, `[[]]`, `{}`} {
		_, err := embeddings([]byte(`{"model":"m","input":` + input + `}`))
		require.Error(t, err, input)
	}
}

// The next turn of a conversation must get the same session, and conversations with the same system
// prompt the same prefix.
func TestChatIdentifiesSessionsAndSharedPrefixes(t *testing.T) {
	read := func(rest string) parsedRequest {
		p, err := chat([]byte(`{"model":"m","messages":[{"role":"system","content":"charts"},` + rest + `]}`))
		require.NoError(t, err)
		return p
	}
	first := read(`{"role":"user","content":"depth?"}`)
	next := read(`{"role":"user","content":"depth?"},{"role":"assistant","content":"5 m"},{"role":"user","content":"tide?"}`)
	other := read(`{"role":"user","content":"light?"}`)
	require.Equal(t, first.Session, next.Session)
	require.NotEqual(t, first.Session, other.Session)
	require.Equal(t, first.Prefix, other.Prefix)
	require.Greater(t, next.PromptTokens, first.PromptTokens)
	require.InDelta(t, 2.5, first.PrefixTokens, 1e-9)
	parts := read(`{"role":"user","content":[{"type":"text","text":"depth?"},{"type":"image_url","image_url":{}}]}`)
	require.InDelta(t, first.PromptTokens, parts.PromptTokens, 1e-9)
}

func TestDeployedFileIsOffAndHasTheDefaults(t *testing.T) {
	c, err := LoadConfig("../../deploy/modelapi.toml")
	require.NoError(t, err)
	require.Empty(t, c.Listen)
	want := defaults()
	require.Equal(t, &want, c)
}

func TestConfigIsChecked(t *testing.T) {
	for _, text := range []string{"listen = 7", `listen = "nowhere"`, "odd = 1", `listen = "a:1"` + "\nmax_open = 0",
		`listen = "a:1"` + "\n[chat]\ndeadline = \"1s\"", `listen = "a:1"` + "\n[[account]]\nname = \"x\"",
		`listen = "a:1"` + "\n[[backend]]\nname = \"x\"\naddr = \"nowhere\""} {
		path := filepath.Join(t.TempDir(), "f.toml")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := LoadConfig(path)
		require.Error(t, err, text)
	}
	c := defaults()
	c.Listen = "a:1"
	require.NoError(t, c.Override("listen = \"b:2\"\nmax_open = 3"))
	require.Equal(t, "a:1", c.Listen, "the listen address is not overridden")
	require.Equal(t, 3, c.MaxOpen)
	require.Error(t, c.Override("max_open = 0"))
	require.Equal(t, 3, c.MaxOpen)
}

func TestEntriesNeedUniqueNames(t *testing.T) {
	list := []Backend{{Name: "m-a", Addr: "h:1"}, {Name: "m-b", Addr: "h:2", Draining: true}}
	entries, err := Entries(list)
	require.NoError(t, err)
	require.Equal(t, membership.Draining, entries[1].Status)
	_, err = Entries(append(list, list[0]))
	require.Error(t, err)
	_, err = Entries([]Backend{{Name: "m-a", Addr: "nowhere"}})
	require.ErrorContains(t, err, "nowhere")
}
