package node

import (
	"bytes"
	"crypto/sha256"
	"maps"
	"slices"
	"time"
)

// A router that lags and can't reach the store gets the text of a version, such as a published
// configuration, from another router. Only the store decides which text belongs to a version:
// routers send checksums only of texts that they read from the store, and a text is accepted
// if as many routers report its checksum as are needed to call a version the newest.

// Checksum is the checksum of a version's text, as the sender read it from the store.
type Checksum struct {
	Version uint64 `cbor:"1,keyasint"`
	SHA256  []byte `cbor:"2,keyasint"`
}

// TextRequest requests a version of a part's text.
type TextRequest struct {
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
	// textPeriod is the minimum time between two texts that a router sends, and between two
	// requests for texts: many routers that lag at once must not overload those that don't.
	textPeriod = 250 * time.Millisecond
	// maxTextBytes is the store's limit on a text.
	maxTextBytes = 256 << 10
)

// texts is a node's state for sending and requesting texts.
type texts struct {
	own           map[string]Text                // read from the store, by part
	checksums     map[string]Checksum            // of own
	peerChecksums map[string]map[string]Checksum // by router and part
	wanted        map[string]uint64              // by part: a later version than this is wanted
	// mismatched holds, by part, the routers whose text did not match the checksum.
	mismatched  map[string]map[string]bool
	requestedAt Time
	answeredAt  Time
	received    []Text
}

func newTexts() texts {
	return texts{own: map[string]Text{}, checksums: map[string]Checksum{}, peerChecksums: map[string]map[string]Checksum{}, wanted: map[string]uint64{}, mismatched: map[string]map[string]bool{}}
}

// SetText sets a version's text, as read from the store. Other routers may request it from then
// on.
func (n *Node) SetText(t Text) {
	if t.Version > n.texts.own[t.Part].Version && len(t.Text) <= maxTextBytes {
		sum := sha256.Sum256([]byte(t.Text))
		n.texts.own[t.Part] = t
		// A message that is not yet sent may hold the previous map.
		n.texts.checksums = maps.Clone(n.texts.checksums)
		n.texts.checksums[t.Part] = Checksum{t.Version, sum[:]}
		if held, wanted := n.texts.wanted[t.Part]; wanted && t.Version > held {
			delete(n.texts.wanted, t.Part)
		}
	}
}

// RequestText requests a part's text of a later version than held from other routers, until one
// is received.
func (n *Node) RequestText(part string, held uint64) { n.texts.wanted[part] = held }

// Texts returns the texts received since the previous call.
func (n *Node) Texts() []Text {
	out := n.texts.received
	n.texts.received = nil
	return out
}

func (x *texts) receiveChecksums(from string, sums map[string]Checksum) {
	if len(sums) > maxParts {
		return
	}
	for part, s := range sums {
		if len(part) > maxPartName || len(s.SHA256) != sha256.Size {
			return
		}
	}
	x.peerChecksums[from] = sums
}

// agreed returns the latest version of a part, above the given one, for which at least need
// routers report the same checksum, and those routers.
func (x *texts) agreed(part string, above uint64, need int) (sum Checksum, by []string) {
	names := slices.Sorted(maps.Keys(x.peerChecksums))
	for _, name := range names {
		s := x.peerChecksums[name][part]
		if s.Version <= max(above, sum.Version) {
			continue
		}
		var matching []string
		for _, other := range names {
			if t := x.peerChecksums[other][part]; t.Version == s.Version && bytes.Equal(t.SHA256, s.SHA256) {
				matching = append(matching, other)
			}
		}
		if len(matching) >= need {
			sum, by = s, matching
		}
	}
	return sum, by
}

// requestTexts adds, for each wanted text, a request to the message for one router that has it.
func (n *Node) requestTexts(now Time, to func(name string) *Envelope) {
	x := &n.texts
	if len(x.wanted) == 0 || x.requestedAt != 0 && now-x.requestedAt < textPeriod {
		return
	}
	x.requestedAt = now
	for _, part := range slices.Sorted(maps.Keys(x.wanted)) {
		sum, by := x.agreed(part, x.wanted[part], n.requiredObservers())
		by = slices.DeleteFunc(by, func(name string) bool { return x.mismatched[part][name] })
		if len(by) == 0 {
			delete(x.mismatched, part) // all mismatched: try all of them again
			continue
		}
		to(by[n.rng.IntN(len(by))]).TextRequest = &TextRequest{part, sum.Version}
	}
}

// answerText returns the requested text if this router has it and has sent none within
// textPeriod.
func (n *Node) answerText(w *TextRequest, now Time) *Text {
	x := &n.texts
	t, ok := x.own[w.Part]
	if !ok || t.Version < w.Version || x.answeredAt != 0 && now-x.answeredAt < textPeriod {
		return nil
	}
	x.answeredAt = now
	return &t
}

// receiveText accepts a text if it is wanted and matches the checksum that the routers agree on.
func (n *Node) receiveText(from string, t Text) {
	x := &n.texts
	held, wanted := x.wanted[t.Part]
	sum, _ := x.agreed(t.Part, held, n.requiredObservers())
	if !wanted || t.Version != sum.Version {
		return
	}
	if got := sha256.Sum256([]byte(t.Text)); !bytes.Equal(got[:], sum.SHA256) {
		if x.mismatched[t.Part] == nil {
			x.mismatched[t.Part] = map[string]bool{}
		}
		x.mismatched[t.Part][from] = true
		return
	}
	delete(x.wanted, t.Part)
	delete(x.mismatched, t.Part)
	x.received = append(x.received, t)
}
