package budget

// This file: what routers say to each other, and what a ledger tells of loans.

import (
	"time"
)

// Kind says what a message is.
type Kind uint8

// The kinds of message.
const (
	Ask    Kind = iota + 1 // the sender wants to hold Amount of the receiver's share
	Grant                  // the sender lends Amount, in answer to the ask of this number
	Return                 // the sender uses at most Amount of the grant of this number by now, and no older one
)

// Message goes between two routers. It may be lost, doubled, late or out of order.
type Message struct {
	Kind   Kind    `cbor:"1,keyasint"`
	From   string  `cbor:"2,keyasint"`
	To     string  `cbor:"3,keyasint"`
	Epoch  uint64  `cbor:"4,keyasint"`
	Life   uint64  `cbor:"5,keyasint"` // incarnation of the router that asks
	Key    string  `cbor:"6,keyasint"` // whose budget
	Seq    uint64  `cbor:"7,keyasint"` // number of the ask
	Amount float64 `cbor:"8,keyasint"` // a second
	Using  uint64  `cbor:"9,keyasint"` // in an ask: number of the grant in use; older ones never will be again
}

// MoveKind says what a Move is.
type MoveKind uint8

// The kinds of Move. Lent and Returned are the owner's, Borrowed is the borrower's.
const (
	Lent MoveKind = iota + 1
	Returned
	Borrowed
)

// Move is a change of what is lent, as one end of it knows it. A grant is known by its key, both routers, the borrower's
// life and the number of the ask.
type Move struct {
	Kind      MoveKind
	Key       string
	Router    string // the other end
	Life, Seq uint64
	Using     uint64        // of Lent: older grants of this life will never be used again
	Amount    float64       // a second; of Returned: what is used at most by now
	Share     float64       // of Lent: what the owner has to lend and to spend, in all
	Left      time.Duration // until it ends by the clock of the end that tells of it
}
