// Package logic decides, for one gateway in front of a disaggregated model
// service, which reader reads a prompt and which writer streams its answer.
//
// This file is the interface: settings, events and actions. It decides nothing.
package logic

import "time"

// Time is a reading of the caller's clock in nanoseconds from an arbitrary start.
type Time int64

// ServerID, RequestID and Key are opaque; the zero Key means none.
type (
	ServerID  uint32
	RequestID uint64
	Key       uint64
)

// Role is what a kind of server can do.
type Role uint8

// The roles of a server kind.
const (
	RoleRead Role = iota
	RoleWrite
	RoleBoth
)

// Effect says what running a request of a class twice would do.
type Effect uint8

// The kinds of effect.
const (
	EffectRepeatable Effect = iota
	EffectByKey
	EffectOnce
)

// Group is the set of servers that discard repeats of a by-key request.
type Group uint8

// The groups of a by-key class.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class holds the figures of one class of requests.
type Class struct {
	Aim          time.Duration // first token wanted within this, before the prompt's part
	AimPer1000   time.Duration // added to the aim for each 1,000 prompt tokens
	TokenAim     time.Duration // wanted mean gap between tokens
	Points       float64       // worth
	LateShare    float64       // part of the worth paid after the aim
	Effect       Effect
	Group        Group
	RepeatWindow time.Duration // how long a group remembers a by-key request
}

// Tenant holds one tenant's share.
type Tenant struct {
	QuotaPerSecond float64 // over all gateways together; 0 means none stated
}

// Kind holds the figures of one kind of server.
type Kind struct {
	Role         Role
	MemoryTokens float64 // 0 means not stated
}

// Settings are what a deployment states once, at the start of an instance.
type Settings struct {
	Gateways       int // how many instances share the fleet
	Zone           int // the zone of this instance
	Classes        []Class
	Tenants        []Tenant
	Kinds          []Kind
	WritersRead    bool // a writer without a state reads the prompt itself
	Weights        bool // a server's share of the traffic goes with its Weight, 1 being a usual one
	CancelAllowed  bool
	RetryAfter     bool // clients are told when to come back
	MaxRetryAfter  time.Duration
	MaxAttempts    int
	ConnectTimeout time.Duration
	OverShareWorth float64       // worth of traffic past a tenant's quota
	DrainGrace     time.Duration // sends to a leaving server must have ceased by then
	ColdShare      float64       // part of its capacity a fresh server has at least
	WarmWithin     time.Duration
	FallMultiple   float64 // of present capacity, for FallAfter: a cold server falls over
	FallAfter      time.Duration
	Resume         bool          // a client comes again for the rest of a stream that broke
	ReleaseWithin  time.Duration // a held state must be used or released within this
}

// Health is what the list of servers says of one.
type Health uint8

// The listed states of a server.
const (
	Ready Health = iota
	Draining
	Gone
)

// Member is one line of the list of servers.
type Member struct {
	Server ServerID
	Weight float64
	Cell   int
	Zone   int
	Kind   int
	Health Health
	Since  Time // its latest start, by the list's clock; 0 means long ago
	Began  Time // the same by the caller's clock; 0: that is the list's
}

// Status is how an attempt ended.
type Status uint8

// The ways an attempt ends.
const (
	Served Status = iota
	ServerError
	Full // never ran: no room, or with Kept 1 no state to fetch
	TimedOut
	ConnectFailed
	ConnectionReset
	Cancelled
	NotSent
	PromptRead // the state waits at the reader
	Rejected   // the server found fault with the request itself: it has not run, and no other server would take it
)

// Answered tells whether the server itself has answered, so that it had the request. Nothing else proves
// that.
func (s Status) Answered() bool {
	switch s {
	case Served, ServerError, Full, PromptRead, Rejected:
		return true
	}
	return false
}

// EventKind tells which fields of an Event are set.
type EventKind uint8

// The kinds of event.
const (
	ServersChanged EventKind = iota // Members, Whole
	Arrived                         // Request
	AnswerStarted                   // ID, Server, Latency, Load
	AttemptEnded                    // ID, Server, Latency, Status, Closed, Kept, Stale, Unreached, Load
	ClientLeft                      // ID
	TimerFired                      // Token
	LoadTold                        // Server, Load: as others tell of it
	Closing                         // Latency: the instance gives up what is in hand so much later, with 0 now
)

// Request is a prompt as it arrives.
type Request struct {
	ID           RequestID
	Class        int
	Tenant       int
	Session      Key
	Prefix       Key     // beginning shared with other sessions
	PromptTokens float64 // whole prompt
	PrefixTokens float64 // part of it in the shared beginning
	MaxTokens    float64 // most that the answer may hold
	AnswerHint   time.Duration
	Hinted       bool // AnswerHint is valid
	Resumed      bool // comes again after its stream broke or was moved
	Patience     time.Duration
}

// Load is a server's own report, late and noisy.
type Load struct {
	HasMemory   bool
	MemoryShare float64
	HasUnread   bool
	UnreadToken float64
}

// Event is something the gateway has seen.
type Event struct {
	Kind    EventKind
	Whole   bool // Members is the complete list
	Members []Member
	Request Request
	ID      RequestID
	Attempt int
	Server  ServerID
	Latency time.Duration
	Status  Status
	Closed  bool   // the request has its final answer
	Kept    uint32 // prompt tokens found kept; 1 with Full: no state
	Stale   bool   // ConnectionReset of a connection that had been kept: the server may be well
	// Unreached says that the attempt never reached its server: what is held for the request
	// has been held all the while, and it does not count towards the bound on attempts.
	Unreached bool
	Load      Load
	Token     uint64
}

// ActionKind tells which fields of an Action are set.
type ActionKind uint8

// The kinds of action.
const (
	Send     ActionKind = iota // ID, Server, After as time-out, SendWithin
	CallOff                    // ID, Attempt
	Refuse                     // ID, After as come-back advice, Why
	Fail                       // ID, Why
	Release                    // ID
	Move                       // ID
	SetTimer                   // After, Token
	Log                        // Text
)

// Why says for what reason a request is refused or failed.
type Why uint8

// The reasons.
const (
	WhyNone       Why = iota
	WhyNotSent        // the caller would not send it
	WhyRejected       // a server found fault with it
	WhyTriesSpent     // all its attempts have been made
	WhyTimeOver       // its client's time is
	WhyMayHaveRun     // and it must not run twice, or not any more
	WhyQueue          // it would wait too long at the best server
	WhyNoServer       // none may take it now, and its time or that of its state is over
	WhyClosing        // the instance ends
)

var whys = [...]string{"none", "not_sent", "rejected", "tries_spent", "time_over", "may_have_run", "queue", "no_server", "closing"}

// String is the reason's name in logs and counters.
func (w Why) String() string { return whys[w] }

// Action is something the gateway must do, in the order given.
type Action struct {
	Kind       ActionKind
	ID         RequestID
	Attempt    int
	Server     ServerID
	After      time.Duration
	SendWithin time.Duration // the request's last byte must have gone out within this; 0: no bound
	Token      uint64
	Text       string
	Why        Why
}

// Decider is one gateway's decisions. It is not safe for concurrent use;
// instances share nothing.
type Decider interface {
	// Handle takes what was seen at now and appends what to do to actions.
	Handle(now Time, events []Event, actions []Action) []Action
}
