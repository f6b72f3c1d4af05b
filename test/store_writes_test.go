package test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	relay "lichenshelf/internal/standin/link"
	"lichenshelf/store"
)

// takesWrites reports whether a replica accepts a write itself, without a redirect: it is the
// leader.
func takesWrites(t *testing.T, api string) bool {
	direct := &http.Client{Timeout: 2 * time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	req, err := http.NewRequest(http.MethodPut, "http://"+api+"/v1/nodes/n", strings.NewReader("0"))
	require.NoError(t, err)
	resp, err := direct.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusNoContent
}

// A client that lost the answer to a write repeats it at another replica. The write must still be
// applied once: the version of a node counts how often it was set.
func TestWriteWhoseAnswerIsLostIsAppliedOnce(t *testing.T) {
	_, apis, _ := replicas(t, "")
	status, _ := storeCall(t, http.MethodPost, "http://"+apis[0]+"/v1/nodes/n", "")
	require.Equal(t, 201, status)
	leader := -1
	eventually(t, func() bool {
		for i, api := range apis {
			if takesWrites(t, api) {
				leader = i
				return true
			}
		}
		return false
	}, "a replica accepts writes")
	lossy, err := relay.New(apis[leader])
	require.NoError(t, err)
	t.Cleanup(lossy.Close)
	lossy.Set(relay.Fault{Drop: [2]bool{false, true}})
	client := store.NewClient(lossy.Addr(), apis[(leader+1)%3], apis[(leader+2)%3])
	reader := store.NewClient(apis[leader])
	before, err := reader.Node("/n")
	require.NoError(t, err)
	const writes = 20
	for range writes {
		// Otherwise the client would wait for the answer until its timeout.
		cut := time.AfterFunc(50*time.Millisecond, lossy.Cut)
		require.NoError(t, client.Set("/n", []byte("x"), store.AnyVersion))
		cut.Stop()
	}
	after, err := reader.Node("/n")
	require.NoError(t, err)
	require.Equal(t, before.Stat.Version+writes, after.Stat.Version)
	cut := time.AfterFunc(50*time.Millisecond, lossy.Cut)
	defer cut.Stop()
	require.NoError(t, client.Create("/once", nil), "the repeated create must not fail on the node of the first attempt")
}
