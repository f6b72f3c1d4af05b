// Package audit determines from the event logs of many routers which router acted on which version,
// and whether each router kept its commitments. It relies on versions and on the order of one
// router's records, not on wall clocks, which may differ by an hour.
//
// The package does no I/O. Event logs are written by fleet/eventlog.
package audit

import (
	"fmt"
	"time"
)

// Kind is the type of a record.
type Kind uint8

// The kinds of record. The numbers are stored in files and must not change.
const (
	Started Kind = 1 // the router has started under Incarnation
	// Part is at Version from now on; Number identifies the versions of all parts.
	Taken        Kind = 2
	Acknowledged Kind = 3  // it has reported to others that Part is at Version
	Refused      Kind = 4  // it does not take Version of Part, for the reason Text
	Out          Kind = 5  // Worker gets nothing new, after Window at the latest
	Back         Kind = 6  // Worker may get requests again
	Sent         Kind = 7  // Count attempts were sent to Worker under Number, from At until Until
	Failed       Kind = 8  // an attempt of Request at Worker ended with Text
	ShutOut      Kind = 9  // the router accepts no new requests from now on, for the reason Text
	Readmitted   Kind = 10 // the router accepts new requests again
	Ended        Kind = 11 // the router has shut down in an orderly way
	// Peer may use Amount of this router's Share of Part for Window, by grant Number of Epoch; its
	// grants before Version have ended.
	Lent     Kind = 12
	Returned Kind = 13 // Peer now uses at most Amount of grant Number of Epoch
	// This router uses Amount of Peer's share of Part for Window, by grant Number of Epoch.
	Borrowed Kind = 14
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

// Record is one event at a router. Times are on its own monotonic clock, which restarts with the
// process.
type Record struct {
	Seq         uint64        `cbor:"1,keyasint"` // from 1, consecutive over the router's records
	Kind        Kind          `cbor:"2,keyasint"`
	Router      string        `cbor:"3,keyasint,omitempty"`
	Incarnation uint64        `cbor:"4,keyasint,omitempty"`
	At          time.Duration `cbor:"5,keyasint"`
	Wall        int64         `cbor:"6,keyasint,omitempty"` // Unix milliseconds, for display only
	Part        string        `cbor:"7,keyasint,omitempty"`
	Version     uint64        `cbor:"8,keyasint,omitempty"`
	Number      uint64        `cbor:"9,keyasint,omitempty"`
	Worker      string        `cbor:"10,keyasint,omitempty"`
	Since       int64         `cbor:"11,keyasint,omitempty"` // the worker's incarnation
	Request     string        `cbor:"12,keyasint,omitempty"`
	Count       uint64        `cbor:"13,keyasint,omitempty"`
	Until       time.Duration `cbor:"14,keyasint,omitempty"`
	Window      time.Duration `cbor:"15,keyasint,omitempty"`
	Text        string        `cbor:"16,keyasint,omitempty"`
	Peer        string        `cbor:"17,keyasint,omitempty"` // the router at the other end of a loan
	// The borrower's incarnation when it asked for the loan.
	Epoch  uint64  `cbor:"18,keyasint,omitempty"`
	Amount float64 `cbor:"19,keyasint,omitempty"` // per second
	Share  float64 `cbor:"20,keyasint,omitempty"` // per second
}

// Place is the position of a record in a file.
type Place struct {
	File   string
	Offset int64
}

// String implements fmt.Stringer.
func (p Place) String() string { return fmt.Sprintf("%s:%d", p.File, p.Offset) }

// Entry is a record and its place.
type Entry struct {
	Record
	Place
}

// Damage is a place where an event log can't be read.
type Damage struct {
	Place
	What string
}

// Trail is the event log of one router, in order.
type Trail struct {
	Router  string
	Entries []Entry
	Damages []Damage
}
