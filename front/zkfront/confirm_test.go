package zkfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lichenshelf/discovery/zkwire"
)

// Guards against a client that is answered after the majority may have ended its session: either
// limit alone closes its connection.
func TestConnectionIsClosedAtEitherLimit(t *testing.T) {
	const timeout = 6 * time.Second
	now := time.Now()
	for name, c := range map[string]struct {
		confirmed, renewed time.Duration // before now
		want               bool
	}{
		"just renewed":                       {},
		"replica confirmed long ago":         {confirmed: 4*time.Second + touchInterval},
		"replica confirmed too long ago":     {confirmed: 4*time.Second + touchInterval + 1, want: true},
		"client silent for its time-out":     {renewed: timeout},
		"session renewed at the last moment": {renewed: timeout + sessionGrace},
		"session may have ended":             {renewed: timeout + sessionGrace + 1, want: true},
	} {
		s := &Server{confirmedAt: now.Add(-c.confirmed)}
		require.Equal(t, c.want, s.unconfirmed(&conn{timeout: timeout, renewedAt: now.Add(-c.renewed)}, now), name)
	}
}

// The time-out of a session is that of its opening: a client that resumes it and asks for a longer
// one must not rely on that.
func TestResumedSessionKeepsItsTimeout(t *testing.T) {
	c := newCluster(t)
	_, opened := c.hello(0, zkwire.ConnectRequest{TimeoutMs: 4000, Password: make([]byte, 16)})
	require.EqualValues(t, 4000, opened.TimeoutMs)
	for _, asked := range []int32{20_000, 4000, 3000} {
		_, resumed := c.hello(1, zkwire.ConnectRequest{TimeoutMs: asked, SessionID: opened.SessionID, Password: opened.Password})
		require.EqualValues(t, min(asked, 4000), resumed.TimeoutMs)
	}
}
