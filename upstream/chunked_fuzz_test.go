package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net/http/httputil"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A chunked body that is read without an error must equal what the standard library's reader
// returns. After an error, the data returned so far must be a prefix of the body, and never exceeds
// the input.
func FuzzChunked(f *testing.F) {
	for _, text := range []string{
		wholeText, "0\r\n\r\n", "2\r\nab\r\n0\r\nX: y\r\n\r\n", "2;x=y\r\nab\r\n0\r\n\r\n", "00000002\r\nab\r\n0\r\n\r\n", "2 \r\nab\r\n0\r\n\r\n",
		"zz\r\n", "-2\r\nab\r\n", "1\r\nab\r\n0\r\n\r\n", "C0000000\r\nab", "2\nab\n", "2\r\nab", "+2\r\nab\r\n0\r\n\r\n", "0x2\r\nab\r\n0\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Add([]byte(strings.Repeat("1;"+strings.Repeat("x", 4000)+"\r\na\r\n", 8) + "0\r\n\r\n")) // extensions without bound
	f.Fuzz(func(t *testing.T, text []byte) {
		ours, err := io.ReadAll(&chunked{br: bufio.NewReaderSize(bytes.NewReader(text), readBuffer)})
		theirs, theirErr := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(text)))
		require.LessOrEqual(t, len(ours), len(text))
		if err == nil {
			require.NoError(t, theirErr, "%q is accepted", text)
			require.Equal(t, string(theirs), string(ours))
			return
		}
		require.True(t, bytes.HasPrefix(theirs, ours) || bytes.HasPrefix(ours, theirs), "%q: %q is returned, not %q", text, ours, theirs)
	})
}
