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

// have gives a text of the store's to some of n nodes.
func (f *fleet) have(from, to int, t Text) {
	for i := from; i < to; i++ {
		f.nodes[fmt.Sprintf("r-%d", i)].SetText(t)
	}
}

// Half of all routers can't ask the store. They have its text from the others, and no router gives more than four a second
// or is asked by one that has it.
func TestTextsComeFromThoseWhoHaveThem(t *testing.T) {
	for _, n := range []int{2, 8, 80, 200} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(t, n, 0, func(c *Config) { c.Observers = min(2, n/2) })
			text := Text{textPart, 7, strings.Repeat("attempts = 3\n", 100)}
			gave := map[string][]Time{}
			f.alter = func(e *Envelope) {
				if e.Text != nil {
					gave[e.From] = append(gave[e.From], f.now)
				}
				if e.Wanted != nil {
					require.NotEmpty(t, f.nodes[e.To].texts.own, "asked of one that has it")
				}
			}
			f.have(0, n/2, text)
			for i := n / 2; i < n; i++ {
				f.nodes[fmt.Sprintf("r-%d", i)].WantText(textPart, 6)
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
			t.Logf("all have it after %v", f.now-began)
			for name, times := range gave {
				for i := range times[1:] {
					require.GreaterOrEqual(t, times[i+1]-times[i], Time(textEvery), name)
				}
			}
			f.run(2 * time.Second)
			for _, node := range f.nodes {
				require.Empty(t, node.Texts(), "once is enough")
				require.Empty(t, node.texts.wanted)
			}
		})
	}
}

// What one router says is no store's word: a text that was altered on its way, one of a checksum that a router tells alone,
// and one that nobody asked for are not taken. The right one is, from another router.
func TestATextIsTakenByTheStoresWordAlone(t *testing.T) {
	right := Text{textPart, 7, "attempts = 3\n"}
	for name, alter := range map[string]func(*Envelope){
		"altered by all but one": func(e *Envelope) {
			if e.Text != nil && e.From != "r-1" {
				e.Text = &Text{textPart, 7, "attempts = 9\n"}
			}
		},
		"a checksum of one's own": func(e *Envelope) {
			if e.From == "r-0" {
				sum := sha256.Sum256([]byte("attempts = 9\n"))
				if e.Members != nil {
					e.Sums = map[string]Sum{textPart: {9, sum[:]}}
				}
				e.Text = &Text{textPart, 9, "attempts = 9\n"}
			}
		},
		"nonsense": func(e *Envelope) {
			if e.From != "r-0" {
				return
			}
			e.Sums = map[string]Sum{textPart: {8, []byte("short")}, strings.Repeat("x", mostPart+1): {}}
			e.Text, e.Wanted = &Text{"", 1 << 63, strings.Repeat("x", mostText)}, &Wanted{"nothing", 0}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 5, 0, func(c *Config) { c.Observers = 2 })
			f.alter = alter
			f.have(0, 4, right)
			f.run(5 * time.Second)
			require.Empty(t, f.nodes["r-4"].Texts(), "nothing was asked for")
			f.nodes["r-4"].WantText(textPart, 6)
			f.run(15 * time.Second)
			require.Equal(t, []Text{right}, f.nodes["r-4"].Texts())
		})
	}
}

// What the store itself gives meanwhile ends the asking, and older texts are nobody's wish.
func TestTheStoresOwnTextEndsTheAsking(t *testing.T) {
	f := newFleet(t, 3, 0, nil)
	f.have(0, 2, Text{textPart, 7, "a"})
	f.nodes["r-2"].WantText(textPart, 7)
	f.run(5 * time.Second)
	require.Empty(t, f.nodes["r-2"].Texts())
	f.have(2, 3, Text{textPart, 8, "b"})
	require.Empty(t, f.nodes["r-2"].texts.wanted)
	f.have(2, 3, Text{textPart, 7, "a"})
	require.EqualValues(t, 8, f.nodes["r-2"].texts.own[textPart].Version)
}
