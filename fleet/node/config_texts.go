package node

import (
	"bytes"
	"crypto/sha256"
	"maps"
	"slices"
	"time"
)

// A router that lies behind and can't ask the store has the text of a version, such as a published configuration, from
// another router. Which text belongs to a version is the store's word: routers tell the checksums of those texts alone that
// the store itself gave them, and a text is taken where as many of them say the same as it takes to call a version newest.

// Sum is the checksum of a version's text, as the store gave it to the sender.
type Sum struct {
	Version uint64 `cbor:"1,keyasint"`
	SHA256  []byte `cbor:"2,keyasint"`
}

// Wanted asks for a version of a part's text.
type Wanted struct {
	Part    string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// Text is a version of a part with its text.
type Text struct {
	Part    string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Text    string `cbor:"3,keyasint"`
}

const (
	// textEvery is how long a router that has given a text gives none, and one that has asked for one does not ask another:
	// many that are behind at once must not take up those that are not.
	textEvery = 250 * time.Millisecond
	// mostText is as much as the store takes, in bytes.
	mostText = 256 << 10
)

// texts is a node's part in giving texts and having them.
type texts struct {
	own    map[string]Text            // of the store
	sums   map[string]Sum             // of own
	said   map[string]map[string]Sum  // by other router
	wanted map[string]uint64          // by part: a version above this one
	wrong  map[string]map[string]bool // by part and router: it gave what its sum does not fit
	asked  Time
	gave   Time
	got    []Text
}

func newTexts() texts {
	return texts{own: map[string]Text{}, sums: map[string]Sum{}, said: map[string]map[string]Sum{}, wanted: map[string]uint64{}, wrong: map[string]map[string]bool{}}
}

// SetText takes a version's text as the store gave it. Others may have it from this router then.
func (n *Node) SetText(t Text) {
	if t.Version > n.texts.own[t.Part].Version && len(t.Text) <= mostText {
		sum := sha256.Sum256([]byte(t.Text))
		n.texts.own[t.Part] = t
		n.texts.sums = maps.Clone(n.texts.sums) // the one before may be on its way
		n.texts.sums[t.Part] = Sum{t.Version, sum[:]}
		if held, wanted := n.texts.wanted[t.Part]; wanted && t.Version > held {
			delete(n.texts.wanted, t.Part)
		}
	}
}

// WantText has others asked for a part's text of a later version than this router has, until one has come.
func (n *Node) WantText(part string, held uint64) { n.texts.wanted[part] = held }

// Texts returns the texts that have come since it was asked last.
func (n *Node) Texts() []Text {
	out := n.texts.got
	n.texts.got = nil
	return out
}

func (x *texts) hear(from string, sums map[string]Sum) {
	if len(sums) > mostParts {
		return
	}
	for part, s := range sums {
		if len(part) > mostPart || len(s.SHA256) != sha256.Size {
			return
		}
	}
	x.said[from] = sums
}

// vouched is the latest version of a part, above one, whose checksum so many routers say alike, and who they are.
func (x *texts) vouched(part string, above uint64, need int) (sum Sum, by []string) {
	names := slices.Sorted(maps.Keys(x.said))
	for _, name := range names {
		s := x.said[name][part]
		if s.Version <= max(above, sum.Version) {
			continue
		}
		var alike []string
		for _, other := range names {
			if t := x.said[other][part]; t.Version == s.Version && bytes.Equal(t.SHA256, s.SHA256) {
				alike = append(alike, other)
			}
		}
		if len(alike) >= need {
			sum, by = s, alike
		}
	}
	return sum, by
}

// askForTexts asks one router that has it for each text that is wanted, in the message that goes to it.
func (n *Node) askForTexts(now Time, to func(name string) *Envelope) {
	x := &n.texts
	if len(x.wanted) == 0 || x.asked != 0 && now-x.asked < textEvery {
		return
	}
	x.asked = now
	for _, part := range slices.Sorted(maps.Keys(x.wanted)) {
		sum, by := x.vouched(part, x.wanted[part], n.observers())
		by = slices.DeleteFunc(by, func(name string) bool { return x.wrong[part][name] })
		if len(by) == 0 {
			delete(x.wrong, part) // all were: begin anew
			continue
		}
		to(by[n.rng.IntN(len(by))]).Wanted = &Wanted{part, sum.Version}
	}
}

// giveText answers a router that wants a text, if this one has it, and has given none for a while.
func (n *Node) giveText(w *Wanted, now Time) *Text {
	x := &n.texts
	t, ok := x.own[w.Part]
	if !ok || t.Version < w.Version || x.gave != 0 && now-x.gave < textEvery {
		return nil
	}
	x.gave = now
	return &t
}

// takeText takes a text that has come, if it is wanted and what the store gave others.
func (n *Node) takeText(from string, t Text) {
	x := &n.texts
	held, wanted := x.wanted[t.Part]
	sum, _ := x.vouched(t.Part, held, n.observers())
	if !wanted || t.Version != sum.Version {
		return
	}
	if got := sha256.Sum256([]byte(t.Text)); !bytes.Equal(got[:], sum.SHA256) {
		if x.wrong[t.Part] == nil {
			x.wrong[t.Part] = map[string]bool{}
		}
		x.wrong[t.Part][from] = true
		return
	}
	delete(x.wanted, t.Part)
	delete(x.wrong, t.Part)
	x.got = append(x.got, t)
}
