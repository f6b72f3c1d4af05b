package budget

import (
	"time"
)

// Kind is the type of a message.
type Kind uint8

// The kinds of message.
const (
	Ask   Kind = iota + 1 // the sender requests Amount of the receiver's share
	Grant                 // the sender lends Amount, in answer to the ask with this number
	// The sender now uses at most Amount of the grant with this number, and no older grant.
	Return
)

// Message is sent between two routers. It may be lost, duplicated, delayed or reordered.
type Message struct {
	Kind        Kind    `cbor:"1,keyasint"`
	From        string  `cbor:"2,keyasint"`
	To          string  `cbor:"3,keyasint"`
	Epoch       uint64  `cbor:"4,keyasint"`
	Incarnation uint64  `cbor:"5,keyasint"` // incarnation of the router that asks
	Key         string  `cbor:"6,keyasint"` // name of the budget
	Seq         uint64  `cbor:"7,keyasint"` // number of the ask
	Amount      float64 `cbor:"8,keyasint"` // per second
	// In an ask: number of the grant in use; older grants are never used again.
	Using uint64 `cbor:"9,keyasint"`
}

// MoveKind is the type of a Move.
type MoveKind uint8

// The kinds of Move. Lent and Returned are recorded by the owner, Borrowed by the borrower.
const (
	Lent MoveKind = iota + 1
	Returned
	Borrowed
)

// Move is a change in a loan as recorded by one end. A grant is identified by its key, both
// routers, the borrower's incarnation and the number of the ask.
type Move struct {
	Kind             MoveKind
	Key              string
	Router           string // the other end
	Incarnation, Seq uint64
	Using            uint64        // for Lent: older grants to this incarnation are never used again
	Amount           float64       // per second; for Returned: the maximum that is still in use
	Share            float64       // for Lent: the owner's whole share, to lend and to spend
	Left             time.Duration // until the lease expires by the clock of the end that records it
}
