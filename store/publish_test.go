package store

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// For any sequence of publishes, repeats and rollbacks: versions increase by one, a named request
// is applied once, the latest version is retained, and the history stays within its limits.
func TestPublishedVersionsOnlyIncrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := newTree()
		latest, texts, requests := uint64(0), map[uint64]string{}, map[string]uint64{}
		for op := range uint64(rapid.IntRange(1, 120).Draw(t, "steps")) {
			q := &publication{Request: fmt.Sprint("r", rapid.IntRange(0, 99).Draw(t, "request"))}
			text := strings.Repeat(string(rune('a'+rapid.IntRange(0, 3).Draw(t, "text"))), 1+rapid.IntRange(0, 200_000).Draw(t, "size"))
			if rapid.IntRange(0, 4).Draw(t, "back") == 0 {
				q.From = rapid.Uint64Range(1, 80).Draw(t, "from")
			}
			if rapid.IntRange(0, 3).Draw(t, "checked") == 0 {
				q.Checked, q.Expect = true, latest+uint64(rapid.IntRange(0, 1).Draw(t, "off"))
			}
			kept := findRevision(tr.Published["c"], q.From)
			r, err := tr.publish(op+1, "c", []byte(text), q)
			if q.From > 0 {
				if kept == nil {
					require.ErrorIs(t, err, ErrNoRevision)
					continue
				}
				text = texts[q.From]
			}
			if v, ok := requests[q.Request]; ok && findRevision(tr.Published["c"], v) != nil && (err != nil || r.Version <= latest) {
				if texts[v] == text {
					require.NoError(t, err)
					require.Equal(t, v, r.Version, "a repeat has the first version")
				} else {
					require.ErrorIs(t, err, ErrReused)
				}
				continue
			}
			if q.Checked && q.Expect != latest {
				require.ErrorIs(t, err, ErrBadVersion)
				continue
			}
			require.NoError(t, err)
			require.Equal(t, latest+1, r.Version)
			latest++
			texts[latest], requests[q.Request] = text, latest
			list := tr.Published["c"]
			require.LessOrEqual(t, len(list), maxRevisions)
			bytes := 0
			for i, r := range list {
				require.Equal(t, latest-uint64(len(list)-1-i), r.Version, "no gap")
				require.Equal(t, texts[r.Version], r.Text)
				bytes += len(r.Text)
			}
			require.LessOrEqual(t, bytes, maxHistoryBytes)
			n, err := tr.find("/config/c")
			require.NoError(t, err)
			require.Equal(t, text, string(n.Data))
		}
	})
}

func (c *cluster) publish(i int, query, text string) (int, string) {
	resp, err := http.Post(c.url(i, "/v1/config/c?"+query), "", strings.NewReader(text))
	require.NoError(c.t, err)
	defer resp.Body.Close()
	var a struct {
		Version uint64
		Error   string
	}
	require.NoError(c.t, decodeJSON(resp, &a))
	if a.Error != "" {
		return resp.StatusCode, a.Error
	}
	return resp.StatusCode, fmt.Sprint(a.Version)
}

// Each call goes to another replica: refused requests change nothing, repeated ones are applied
// once, and versions survive a restart of all replicas.
func TestPublishAtAnyReplica(t *testing.T) {
	c := newCluster(t)
	c.leader()
	for i, s := range []struct {
		query, text string
		status      int
		answer      string
	}{
		{"request=a&by=me", "one", 201, "1"},
		{"request=a&by=me", "one", 201, "1"}, // a repeat, as after a lost answer
		{"request=a", "other", 409, "another text"},
		{"request=b", "bad", 400, "key x: it is bad"},
		{"request=b&expect=0", "two", 409, "c is at 1, not 0"},
		{"request=b&expect=1", "two", 201, "2"},
		{"request=b&expect=1", "two", 201, "2"},
		{"request=c&from=1", "", 201, "3"},
		{"request=d&from=9", "", 404, "no version 9"},
		{"", "text", 400, "a request's name"},
		{"request=e&expect=x", "text", 400, "expect is"},
	} {
		status, answer := c.publish(i%3, s.query, s.text)
		require.Equal(t, s.status, status, "%s: %s", s.query, answer)
		require.Contains(t, answer, s.answer, s.query)
	}
	for i := range c.replicas {
		c.close(i)
	}
	for i := range c.replicas {
		c.open(i)
	}
	client := NewClient(c.cfg[2].Self().API)
	var list []Revision
	c.eventually(func() bool {
		var err error
		list, err = client.Published("c")
		return err == nil
	})
	require.Len(t, list, 3)
	require.Equal(t, []string{"one", "two", "one"}, []string{list[0].Text, list[1].Text, list[2].Text})
	require.Equal(t, uint64(1), list[2].From)
	require.Equal(t, "me", list[0].By)
	status, answer := c.publish(0, "request=x", "text")
	require.Equal(t, 201, status, answer)
	resp, err := http.Post(c.url(0, "/v1/config/unknown?request=x"), "", nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, 400, resp.StatusCode)
	_, err = client.Publish("c", []byte("bad"), "y", "me", nil, 0)
	require.ErrorContains(t, err, "key x: it is bad")
}

// The majority is lost while a text is published, so its publisher does not know the outcome. It
// repeats the request under its name once the replicas are back, at other replicas, and the text is
// published once. Two concurrent publishers get a version each.
func TestPublishDuringMajorityLoss(t *testing.T) {
	c := newCluster(t)
	l := c.leader()
	for i := range c.replicas {
		if i != l {
			c.close(i)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := c.replicas[l].Publish(ctx, "c", []byte("text"), "p", "", nil)
	require.Error(t, err)
	for i := range c.replicas {
		if i != l {
			c.open(i)
		}
	}
	for i := range c.replicas {
		c.eventually(func() bool {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			r, err := c.replicas[i].Publish(ctx, "c", []byte("text"), "p", "", nil)
			require.True(t, err != nil || r.Version == 1, "version %d", r.Version)
			return err == nil
		})
	}
	versions := make(chan uint64, 2)
	for i, text := range []string{"left", "right"} {
		go func() {
			r, err := c.replicas[i].Publish(t.Context(), "c", []byte(text), text, "", nil)
			if err != nil {
				t.Error(err)
			}
			versions <- r.Version
		}()
	}
	require.Equal(t, uint64(5), <-versions+<-versions, "2 and 3")
}
