package zkwire

import "fmt"

// Op is the type of a request.
type Op int32

// The request types.
const (
	OpNotification Op = 0
	OpCreate       Op = 1
	OpDelete       Op = 2
	OpExists       Op = 3
	OpGetData      Op = 4
	OpSetData      Op = 5
	OpGetChildren  Op = 8
	OpSync         Op = 9
	OpPing         Op = 11
	OpGetChildren2 Op = 12
	OpCheck        Op = 13
	OpMulti        Op = 14
	OpCreate2      Op = 15
	OpAuth         Op = 100
	OpSetWatches   Op = 101
	OpCloseSession Op = -11
	OpError        Op = -1
)

// Reserved transaction ids (xids), which no ordinary request uses.
const (
	XidNotification int32 = -1
	XidPing         int32 = -2
	XidAuth         int32 = -4
	XidSetWatches   int32 = -8
)

// Code is the result code of a request; 0 is success.
type Code int32

// The result codes.
const (
	OK                        Code = 0
	ErrSystem                 Code = -1
	ErrRuntimeInconsistency   Code = -2
	ErrConnectionLoss         Code = -4
	ErrMarshalling            Code = -5
	ErrUnimplemented          Code = -6
	ErrOperationTimeout       Code = -7
	ErrBadArguments           Code = -8
	ErrAPI                    Code = -100
	ErrNoNode                 Code = -101
	ErrNoAuth                 Code = -102
	ErrBadVersion             Code = -103
	ErrNoChildrenForEphemeral Code = -108
	ErrNodeExists             Code = -110
	ErrNotEmpty               Code = -111
	ErrSessionExpired         Code = -112
	ErrInvalidACL             Code = -114
	ErrAuthFailed             Code = -115
	ErrSessionMoved           Code = -118
)

// Error implements error.
func (c Code) Error() string { return fmt.Sprintf("ZooKeeper code %d", int32(c)) }

// EventType is the type of a watch event.
type EventType int32

// The types of watch events.
const (
	EventNone            EventType = -1
	EventCreated         EventType = 1
	EventDeleted         EventType = 2
	EventDataChanged     EventType = 3
	EventChildrenChanged EventType = 4
)

// StateConnected is the state in watch events of a live session.
const StateConnected int32 = 3

// Flags of CreateRequest.
const (
	FlagEphemeral int32 = 1
	FlagSequence  int32 = 2
)

// ConnectRequest opens a new session or resumes an existing one.
type ConnectRequest struct {
	ProtocolVersion int32
	LastZxidSeen    int64 // a server whose last zxid is lower must not serve the session
	TimeoutMs       int32
	SessionID       int64 // 0: a new session
	Password        []byte
	ReadOnly        bool
	HasReadOnly     bool // false: the client is an older one, which omits ReadOnly
}

func (r *ConnectRequest) fields(c *codec) {
	c.int32(&r.ProtocolVersion)
	c.int64(&r.LastZxidSeen)
	c.int32(&r.TimeoutMs)
	c.int64(&r.SessionID)
	c.buffer(&r.Password)
	c.optionalBool(&r.ReadOnly, &r.HasReadOnly)
}

// optionalBool encodes or decodes a field that may be missing at the end of a record.
func (c *codec) optionalBool(v, has *bool) {
	if c.reading {
		*has = c.err == nil && len(c.buf) > 0
	}
	if *has {
		c.bool(v)
	}
}

// ConnectResponse returns the session. A timeout of 0 means that the session has expired.
type ConnectResponse struct {
	ProtocolVersion int32
	TimeoutMs       int32
	SessionID       int64
	Password        []byte
	ReadOnly        bool
	HasReadOnly     bool
}

func (r *ConnectResponse) fields(c *codec) {
	c.int32(&r.ProtocolVersion)
	c.int32(&r.TimeoutMs)
	c.int64(&r.SessionID)
	c.buffer(&r.Password)
	c.optionalBool(&r.ReadOnly, &r.HasReadOnly)
}

// RequestHeader precedes every request except ConnectRequest.
type RequestHeader struct {
	Xid int32
	Op  Op
}

func (r *RequestHeader) fields(c *codec) {
	c.int32(&r.Xid)
	c.int32((*int32)(&r.Op))
}

// ReplyHeader precedes every reply except ConnectResponse, and every watch event.
type ReplyHeader struct {
	Xid  int32
	Zxid int64 // the last transaction that the server has processed
	Err  Code
}

func (r *ReplyHeader) fields(c *codec) {
	c.int32(&r.Xid)
	c.int64(&r.Zxid)
	c.int32((*int32)(&r.Err))
}

// Stat is the metadata of a node. Times are Unix milliseconds.
type Stat struct {
	Czxid          int64
	Mzxid          int64
	Ctime          int64
	Mtime          int64
	Version        int32
	Cversion       int32
	Aversion       int32
	EphemeralOwner int64
	DataLength     int32
	NumChildren    int32
	Pzxid          int64
}

func (r *Stat) fields(c *codec) {
	c.int64(&r.Czxid)
	c.int64(&r.Mzxid)
	c.int64(&r.Ctime)
	c.int64(&r.Mtime)
	c.int32(&r.Version)
	c.int32(&r.Cversion)
	c.int32(&r.Aversion)
	c.int64(&r.EphemeralOwner)
	c.int32(&r.DataLength)
	c.int32(&r.NumChildren)
	c.int64(&r.Pzxid)
}

// ACL is one entry of a node's access control list.
type ACL struct {
	Perms  int32
	Scheme string
	ID     string
}

func (r *ACL) fields(c *codec) {
	c.int32(&r.Perms)
	c.string(&r.Scheme)
	c.string(&r.ID)
}

// CreateRequest is the body of OpCreate and OpCreate2.
type CreateRequest struct {
	Path  string
	Data  []byte
	ACL   []ACL
	Flags int32
}

func (r *CreateRequest) fields(c *codec) {
	c.string(&r.Path)
	c.buffer(&r.Data)
	list(c, &r.ACL, 12, func(c *codec, a *ACL) { a.fields(c) })
	c.int32(&r.Flags)
}

// PathVersion is the body of OpDelete and OpCheck. Version -1 matches any version.
type PathVersion struct {
	Path    string
	Version int32
}

func (r *PathVersion) fields(c *codec) {
	c.string(&r.Path)
	c.int32(&r.Version)
}

// PathWatch is the body of OpExists, OpGetData, OpGetChildren and OpGetChildren2.
type PathWatch struct {
	Path  string
	Watch bool
}

func (r *PathWatch) fields(c *codec) {
	c.string(&r.Path)
	c.bool(&r.Watch)
}

// SetDataRequest is the body of OpSetData.
type SetDataRequest struct {
	Path    string
	Data    []byte
	Version int32
}

func (r *SetDataRequest) fields(c *codec) {
	c.string(&r.Path)
	c.buffer(&r.Data)
	c.int32(&r.Version)
}

// Path is the body of OpSync and of its reply, and of the reply to OpCreate.
type Path struct{ Path string }

func (r *Path) fields(c *codec) { c.string(&r.Path) }

// PathStat is the reply to OpCreate2.
type PathStat struct {
	Path string
	Stat Stat
}

func (r *PathStat) fields(c *codec) {
	c.string(&r.Path)
	r.Stat.fields(c)
}

// DataStat is the reply to OpGetData.
type DataStat struct {
	Data []byte
	Stat Stat
}

func (r *DataStat) fields(c *codec) {
	c.buffer(&r.Data)
	r.Stat.fields(c)
}

// Children is the reply to OpGetChildren.
type Children struct{ Names []string }

func (r *Children) fields(c *codec) { c.strings(&r.Names) }

// ChildrenStat is the reply to OpGetChildren2.
type ChildrenStat struct {
	Names []string
	Stat  Stat
}

func (r *ChildrenStat) fields(c *codec) {
	c.strings(&r.Names)
	r.Stat.fields(c)
}

// SetWatches sets watches again after a reconnection. The server sends events at once for changes
// since RelativeZxid.
type SetWatches struct {
	RelativeZxid  int64
	Data          []string
	Exist         []string
	ChildrenPaths []string
}

func (r *SetWatches) fields(c *codec) {
	c.int64(&r.RelativeZxid)
	c.strings(&r.Data)
	c.strings(&r.Exist)
	c.strings(&r.ChildrenPaths)
}

// WatcherEvent is the body of a notification.
type WatcherEvent struct {
	Type  EventType
	State int32
	Path  string
}

func (r *WatcherEvent) fields(c *codec) {
	c.int32((*int32)(&r.Type))
	c.int32(&r.State)
	c.string(&r.Path)
}

// Auth is the body of OpAuth.
type Auth struct {
	Type   int32
	Scheme string
	Auth   []byte
}

func (r *Auth) fields(c *codec) {
	c.int32(&r.Type)
	c.string(&r.Scheme)
	c.buffer(&r.Auth)
}

// MultiHeader precedes each operation and each result of an OpMulti. A header with Done set marks
// their end.
type MultiHeader struct {
	Op   Op
	Done bool
	Err  Code
}

func (r *MultiHeader) fields(c *codec) {
	c.int32((*int32)(&r.Op))
	c.bool(&r.Done)
	c.int32((*int32)(&r.Err))
}

var multiEnd = MultiHeader{Op: OpError, Done: true, Err: -1}

// MaxMulti is the maximum number of operations of one OpMulti.
const MaxMulti = 1024

// MultiOp is one operation of a Multi. Body is a CreateRequest, SetDataRequest or PathVersion,
// depending on Op.
type MultiOp struct {
	Op   Op
	Body Record
}

// Multi is the body of OpMulti.
type Multi struct{ Ops []MultiOp }

func (r *Multi) fields(c *codec) {
	if !c.reading {
		for _, op := range r.Ops {
			(&MultiHeader{Op: op.Op, Err: -1}).fields(c)
			op.Body.fields(c)
		}
		end := multiEnd
		end.fields(c)
		return
	}
	r.Ops = nil
	for c.err == nil {
		var h MultiHeader
		if h.fields(c); c.err != nil || h.Done {
			return
		}
		op := MultiOp{Op: h.Op}
		switch h.Op {
		case OpCreate, OpCreate2:
			op.Body = &CreateRequest{}
		case OpSetData:
			op.Body = &SetDataRequest{}
		case OpDelete, OpCheck:
			op.Body = &PathVersion{}
		default:
			c.err = fmt.Errorf("unsupported operation %d in a multi request: %w", h.Op, ErrSize)
			return
		}
		if len(r.Ops) >= MaxMulti {
			c.err = fmt.Errorf("%w: more than %d operations", ErrSize, MaxMulti)
			return
		}
		op.Body.fields(c)
		r.Ops = append(r.Ops, op)
	}
}

// MultiResult is one result of a Multi. Body is a Path (OpCreate), PathStat (OpCreate2), Stat
// (OpSetData) or nil; Err is set for OpError.
type MultiResult struct {
	Op   Op
	Err  Code
	Body Record
}

// MultiResults is the reply to OpMulti.
type MultiResults struct{ Results []MultiResult }

// errorBody is the body of a result with OpError; it repeats the code of the header.
type errorBody struct{ code Code }

func (r *errorBody) fields(c *codec) { c.int32((*int32)(&r.code)) }

func (r *MultiResults) fields(c *codec) {
	if !c.reading {
		for _, x := range r.Results {
			(&MultiHeader{Op: x.Op, Err: x.Err}).fields(c)
			if x.Op == OpError {
				(&errorBody{x.Err}).fields(c)
			} else if x.Body != nil {
				x.Body.fields(c)
			}
		}
		end := multiEnd
		end.fields(c)
		return
	}
	r.Results = nil
	for c.err == nil {
		var h MultiHeader
		if h.fields(c); c.err != nil || h.Done {
			return
		}
		x := MultiResult{Op: h.Op, Err: h.Err}
		switch h.Op {
		case OpCreate:
			x.Body = &Path{}
		case OpCreate2:
			x.Body = &PathStat{}
		case OpSetData:
			x.Body = &Stat{}
		case OpDelete, OpCheck:
		case OpError:
			var b errorBody
			b.fields(c)
			x.Err = b.code
		default:
			c.err = fmt.Errorf("unsupported result %d in a multi reply: %w", h.Op, ErrSize)
			return
		}
		if len(r.Results) >= MaxMulti {
			c.err = fmt.Errorf("%w: more than %d results", ErrSize, MaxMulti)
			return
		}
		if x.Body != nil {
			x.Body.fields(c)
		}
		r.Results = append(r.Results, x)
	}
}
