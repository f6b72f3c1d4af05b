package node

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const textPart = "config/modelapi"

// setText sets a text as read from the store at the nodes with numbers in [from, to).
func (f *fleet) setText(from, to int, t Text) {
	for i := from; i < to; i++ {
		f.nodes[fmt.Sprintf("r-%d", i)].SetText(t)
	}
}

// Half of all routers can't reach the store. They get its text from the others; no router sends
// more than four texts per second, and none is asked that doesn't have the text.
func TestTextsFromPeers(t *testing.T) {
	for _, n := range []int{2, 8, 80, 200} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(t, n, 0, func(c *Config) { c.Observers = min(2, n/2) })
			text := Text{textPart, 7, strings.Repeat("attempts = 3\n", 100)}
			sentAt := map[string][]Time{}
			f.alter = func(e *Envelope) {
				if e.Text != nil {
					sentAt[e.From] = append(sentAt[e.From], f.now)
				}
				if e.TextRequest != nil {
					require.NotEmpty(t, f.nodes[e.To].texts.own, "the router asked must have the text")
				}
			}
			f.setText(0, n/2, text)
			for i := n / 2; i < n; i++ {
				f.nodes[fmt.Sprintf("r-%d", i)].RequestText(textPart, 6)
			}
			began, left := f.now, n-n/2
			for left > 0 && f.now < began+time.Minute {
				f.run(time.Second)
				for i := n / 2; i < n; i++ {
					for _, got := range f.nodes[fmt.Sprintf("r-%d", i)].Texts() {
						require.Equal(t, text, got)
						left--
					}
				}
			}
			require.Zero(t, left)
			t.Logf("all routers have the text after %v", f.now-began)
			for name, times := range sentAt {
				for i := range times[1:] {
					require.GreaterOrEqual(t, times[i+1]-times[i], Time(textPeriod), name)
				}
			}
			f.run(2 * time.Second)
			for _, node := range f.nodes {
				require.Empty(t, node.Texts(), "the text is received once only")
				require.Empty(t, node.texts.wanted)
			}
		})
	}
}

// A text must match a checksum that enough routers report: a text altered on its way, a text
// whose checksum a single router reports, and a text that was not requested are not accepted.
// The right text is then accepted from another router.
func TestTextMustMatchAgreedChecksum(t *testing.T) {
	right := Text{textPart, 7, "attempts = 3\n"}
	for name, alter := range map[string]func(*Envelope){
		"altered by all but one": func(e *Envelope) {
			if e.Text != nil && e.From != "r-1" {
				e.Text = &Text{textPart, 7, "attempts = 9\n"}
			}
		},
		"a checksum that one router alone reports": func(e *Envelope) {
			if e.From == "r-0" {
				sum := sha256.Sum256([]byte("attempts = 9\n"))
				if e.Members != nil {
					e.Checksums = map[string]Checksum{textPart: {9, sum[:]}}
				}
				e.Text = &Text{textPart, 9, "attempts = 9\n"}
			}
		},
		"invalid values": func(e *Envelope) {
			if e.From != "r-0" {
				return
			}
			e.Checksums = map[string]Checksum{textPart: {8, []byte("short")}, strings.Repeat("x", maxPartName+1): {}}
			e.Text, e.TextRequest = &Text{"", 1 << 63, strings.Repeat("x", maxTextBytes)}, &TextRequest{"nothing", 0}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 5, 0, func(c *Config) { c.Observers = 2 })
			f.alter = alter
			f.setText(0, 4, right)
			f.run(5 * time.Second)
			require.Empty(t, f.nodes["r-4"].Texts(), "no text was requested")
			f.nodes["r-4"].RequestText(textPart, 6)
			f.run(15 * time.Second)
			require.Equal(t, []Text{right}, f.nodes["r-4"].Texts())
		})
	}
}

// A text read from the store ends the request for it. Texts of versions that are not later than
// the one held are not requested.
func TestTextFromStoreEndsRequest(t *testing.T) {
	f := newFleet(t, 3, 0, nil)
	f.setText(0, 2, Text{textPart, 7, "a"})
	f.nodes["r-2"].RequestText(textPart, 7)
	f.run(5 * time.Second)
	require.Empty(t, f.nodes["r-2"].Texts())
	f.setText(2, 3, Text{textPart, 8, "b"})
	require.Empty(t, f.nodes["r-2"].texts.wanted)
	f.setText(2, 3, Text{textPart, 7, "a"})
	require.EqualValues(t, 8, f.nodes["r-2"].texts.own[textPart].Version)
}
