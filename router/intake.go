package router

import (
	"time"

	"lichenshelf/logic"
)

// refusedFor is the advice that goes with a refusal at the door.
const refusedFor = time.Second

// intake is the door: fronts hand requests in, from any goroutine.
type intake struct {
	core  *Core
	limit int64
	count Counters
}

// Ticket stands for a request that was handed in.
type Ticket struct {
	core *Core
	ex   *exchange
}

// Submit hands a request in. Its answer goes to client, exactly once.
func (c *Core) Submit(r *Request, client Client) Ticket { return c.intake.take(r, client) }

func (in *intake) take(r *Request, client Client) Ticket {
	ex := &exchange{Request: r, client: client, last: logic.NotSent}
	in.count.Add("requests_taken", 1)
	if n := in.core.open.Add(1); in.limit > 0 && n > in.limit {
		in.core.open.Add(-1)
		ex.closed = true
		in.count.Add("requests_refused_at_the_door", 1)
		client.Refuse(refusedFor, logic.NotSent)
		return Ticket{in.core, ex}
	}
	in.core.post(func() { in.core.admission.admit(ex) })
	return Ticket{in.core, ex}
}

// Leave says that the client has gone away. Nothing more is sent for it.
func (t Ticket) Leave() {
	at := time.Now()
	t.core.post(func() { t.core.completion.left(t.ex, at) })
}
