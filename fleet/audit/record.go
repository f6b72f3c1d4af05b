// Package audit tells from the records of many routers who acted on what, and whether they
// kept what they had said. It goes by versions and by what one router did after another
// thing, not by wall clocks, which may be an hour apart.
//
// The package does no I/O. What it reads is written by fleet/eventlog.
package audit

import (
	"fmt"
	"time"
)

// Kind says what a record is of.
type Kind uint8

// The kinds of record. Numbers stay as they are: they stand in files.
const (
	Started      Kind = 1  // the router has started; Life is its incarnation
	Taken        Kind = 2  // Part is at Version from now on; Number names all that is acted on
	Acknowledged Kind = 3  // it has told others that Part is at Version
	Refused      Kind = 4  // it does not take Version of Part; Text says why
	Out          Kind = 5  // Worker gets nothing new, Window later at the latest
	Back         Kind = 6  // Worker may get something again
	Sent         Kind = 7  // Count attempts went to Worker under Number, from At on until Until
	Failed       Kind = 8  // an attempt of Request at Worker ended in Text
	ShutOut      Kind = 9  // the router takes nothing new from now on; Text says why
	Readmitted   Kind = 10 // it does again
	Ended        Kind = 11 // the router ends in good order
	Lent         Kind = 12 // Peer may use Amount of this router's Share of Part for Window, by grant Number of Epoch; its older ones than Version are over
	Returned     Kind = 13 // Peer uses at most Amount of grant Number of Epoch by now
	Borrowed     Kind = 14 // this router uses Amount of Peer's share of Part for Window, by grant Number of Epoch
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	names := [...]string{"?", "started", "taken", "acknowledged", "refused", "out", "back", "sent", "failed", "shut out", "readmitted", "ended", "lent",
		"returned", "borrowed"}
	if int(k) < len(names) {
		return names[k]
	}
	return names[0]
}

// Record is one thing that a router did. Times are on its own monotonic clock, which begins
// anew with each start.
type Record struct {
	Seq     uint64        `cbor:"1,keyasint"` // from 1, one more for each of the router's records
	Kind    Kind          `cbor:"2,keyasint"`
	Router  string        `cbor:"3,keyasint,omitempty"`
	Life    uint64        `cbor:"4,keyasint,omitempty"`
	At      time.Duration `cbor:"5,keyasint"`
	Wall    int64         `cbor:"6,keyasint,omitempty"` // Unix milliseconds, for people alone
	Part    string        `cbor:"7,keyasint,omitempty"`
	Version uint64        `cbor:"8,keyasint,omitempty"`
	Number  uint64        `cbor:"9,keyasint,omitempty"`
	Worker  string        `cbor:"10,keyasint,omitempty"`
	Since   int64         `cbor:"11,keyasint,omitempty"` // the worker's incarnation
	Request string        `cbor:"12,keyasint,omitempty"`
	Count   uint64        `cbor:"13,keyasint,omitempty"`
	Until   time.Duration `cbor:"14,keyasint,omitempty"`
	Window  time.Duration `cbor:"15,keyasint,omitempty"`
	Text    string        `cbor:"16,keyasint,omitempty"`
	Peer    string        `cbor:"17,keyasint,omitempty"` // the router at the other end of a loan
	Epoch   uint64        `cbor:"18,keyasint,omitempty"` // the life under which the borrower asked
	Amount  float64       `cbor:"19,keyasint,omitempty"` // a second
	Share   float64       `cbor:"20,keyasint,omitempty"` // a second
}

// Place is where a record stands.
type Place struct {
	File   string
	Offset int64
}

// String implements fmt.Stringer.
func (p Place) String() string { return fmt.Sprintf("%s:%d", p.File, p.Offset) }

// Entry is a record and where it stands.
type Entry struct {
	Record
	Place
}

// Damage is a place where a trail can't be read.
type Damage struct {
	Place
	What string
}

// Trail is all that is there of one router, in order.
type Trail struct {
	Router  string
	Entries []Entry
	Damages []Damage
}
