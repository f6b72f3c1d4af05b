// Package logic decides, for one gateway in front of a disaggregated model service, which reader
// reads a prompt and which writer streams its answer.
//
// The interface of the package is in this file: settings, events and actions. It contains no
// decisions.
package logic

import "time"

// Time is a reading of the caller's clock, in nanoseconds since an arbitrary start.
type Time int64

// ServerID, RequestID and Key are opaque identifiers. The zero Key means none.
type (
	ServerID  uint32
	RequestID uint64
	Key       uint64
)

// Role is the work that a kind of server can do.
type Role uint8

// The roles of a server kind.
const (
	RoleRead Role = iota
	RoleWrite
	RoleBoth
)

// Effect says what happens if a request of a class runs twice.
type Effect uint8

// The kinds of effect.
const (
	EffectRepeatable Effect = iota // harmless
	EffectByKey                    // servers of the class's group discard repeats
	EffectOnce                     // must not run twice
)

// Group is the set of servers within which repeats of a by-key request are discarded.
type Group uint8

// The groups of a by-key class.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class holds the parameters of one class of requests.
type Class struct {
	Aim          time.Duration // target time to the first token, without the prompt's part
	AimPer1000   time.Duration // added to the aim for each 1,000 prompt tokens
	TokenAim     time.Duration // target mean time between tokens
	Points       float64       // value of an answer within the aim
	LateShare    float64       // fraction of the value that remains after the aim
	Effect       Effect
	Group        Group
	RepeatWindow time.Duration // how long a group remembers a by-key request
}

// Tenant holds the quota of one tenant.
type Tenant struct {
	QuotaPerSecond float64 // requests over all gateways together; 0: no quota
}

// Kind holds the parameters of one kind of server.
type Kind struct {
	Role         Role
	MemoryTokens float64 // 0: unknown
}

// Settings holds the configuration of a deployment, given once when an instance is created. Retune
// replaces parts of it later.
type Settings struct {
	Gateways       int // number of instances that share the fleet
	Zone           int // zone of this instance
	Classes        []Class
	Tenants        []Tenant
	Kinds          []Kind
	WritersRead    bool // a writer without a read state reads the prompt itself
	Weights        bool // distribute traffic by Member.Weight, 1 being an ordinary server
	CancelAllowed  bool
	RetryAfter     bool // refusals tell clients when to retry
	MaxRetryAfter  time.Duration
	MaxAttempts    int
	ConnectTimeout time.Duration
	OverShareWorth float64       // relative value of traffic beyond a tenant's quota
	DrainGrace     time.Duration // sends to a leaving server must have ceased within this
	ColdShare      float64       // minimum fraction of its capacity that a newly started server has
	WarmWithin     time.Duration // a newly started server reaches full capacity within this
	FallMultiple   float64       // a cold server fails under this multiple of its present capacity
	FallAfter      time.Duration // if the overload lasts this long
	Resume         bool          // clients reconnect for the rest of a broken stream
	ReleaseWithin  time.Duration // a held read state must be used or released within this
}

// Health is the state of a server in the server list.
type Health uint8

// The listed states of a server.
const (
	Ready Health = iota
	Draining
	Gone
)

// Member is one entry of the server list.
type Member struct {
	Server ServerID
	Weight float64
	Cell   int
	Zone   int
	Kind   int
	Health Health
	Since  Time // latest start, by the list's clock; 0: long ago
	Began  Time // latest start, by the caller's clock; 0: same as Since
}

// Status is the outcome of an attempt.
type Status uint8

// The outcomes of an attempt.
const (
	Served Status = iota
	ServerError
	Full // not run: no room, or, if Kept is 1, no read state to fetch
	TimedOut
	ConnectFailed
	ConnectionReset
	Cancelled
	NotSent
	PromptRead // the read state is held at the reader
	Rejected   // the request itself is invalid: it has not run, and no server would accept it
)

// Answered reports whether the server itself has answered, which is the only proof that it received
// the request.
func (s Status) Answered() bool {
	switch s {
	case Served, ServerError, Full, PromptRead, Rejected:
		return true
	}
	return false
}

// EventKind says which fields of an Event are set.
type EventKind uint8

// The kinds of event.
const (
	ServersChanged EventKind = iota // Members, Whole
	Arrived                         // Request
	AnswerStarted                   // ID, Server, Latency, Load
	// ID, Server, Latency, Status, Closed, Kept, Stale, Unreached, Load
	AttemptEnded
	ClientLeft   // ID
	TimerFired   // Token
	LoadReported // Server, Load: a load report that other routers passed on
	Closing      // Latency: the instance ends open requests after this; 0: now
)

// Request is an arriving prompt.
type Request struct {
	ID           RequestID
	Class        int
	Tenant       int
	Session      Key
	Prefix       Key     // prefix shared with other sessions
	PromptTokens float64 // whole prompt
	PrefixTokens float64 // part of the prompt that is in the shared prefix
	MaxTokens    float64 // maximum length of the answer
	AnswerHint   time.Duration
	Hinted       bool // AnswerHint is valid
	Resumed      bool // repeated after its stream broke or was moved
	Patience     time.Duration
}

// Load is a server's own load report, which is delayed and noisy.
type Load struct {
	HasMemory   bool
	MemoryShare float64
	HasUnread   bool
	UnreadToken float64
}

// Event is something that the gateway has observed.
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
	Kept    uint32 // prompt tokens found in the server's cache; 1 with Full: no read state
	Stale   bool   // ConnectionReset of a reused connection: the server may be healthy
	// Unreached says that the attempt never reached its server: a read state held for the request
	// has been held throughout, and the attempt does not count towards MaxAttempts.
	Unreached bool
	Load      Load
	Token     uint64
}

// ActionKind says which fields of an Action are set.
type ActionKind uint8

// The kinds of action.
const (
	Send          ActionKind = iota // ID, Server, After as time-out, SendWithin
	CancelAttempt                   // ID, Attempt
	Refuse                          // ID, After as retry advice, Why
	Fail                            // ID, Why
	Release                         // ID
	Move                            // ID
	SetTimer                        // After, Token
	Log                             // Text
)

// Why is the reason for refusing or failing a request.
type Why uint8

// The reasons.
const (
	WhyNone             Why = iota
	WhyNotSent              // the caller did not send it
	WhyRejected             // a server rejected the request itself
	WhyAttemptsSpent        // all attempts have been made
	WhyDeadlineExceeded     // the client's time is over
	WhyMayHaveRun           // it may have run, and must not, or can no longer, be repeated
	WhyQueue                // the expected wait at the best server is too long
	WhyNoServer             // no server was available before the request or its read state expired
	WhyClosing              // the instance is closing
)

var whys = [...]string{"none", "not_sent", "rejected", "tries_spent", "time_over", "may_have_run", "queue", "no_server", "closing"}

// String returns the name of the reason in logs and metrics.
func (w Why) String() string { return whys[w] }

// Action is something that the gateway must do. Actions are executed in the given order.
type Action struct {
	Kind       ActionKind
	ID         RequestID
	Attempt    int
	Server     ServerID
	After      time.Duration
	SendWithin time.Duration // the request's last byte must be sent within this; 0: no limit
	Token      uint64
	Text       string
	Why        Why
}

// Decider makes the decisions of one gateway. It is not safe for concurrent use; instances share
// nothing.
type Decider interface {
	// Handle processes the events observed at now and appends the resulting actions to actions.
	Handle(now Time, events []Event, actions []Action) []Action
}
