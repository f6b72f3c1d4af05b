package router

import (
	"time"

	"lichenshelf/logic"
)

// refusedFor is the advice that goes with a refusal for want of room.
const refusedFor = time.Second

// Ticket stands for a request that was handed in.
type Ticket struct {
	core *Core
	ex   *exchange
}

// Submit hands a request in, from any goroutine. Its answer goes to client, exactly once. Past the bound on open requests it is
// refused at once.
func (c *Core) Submit(r *Request, client Client) Ticket {
	ex := &exchange{Request: r, client: client, last: logic.NotSent}
	c.count.Add("requests_taken", 1)
	if n := c.open.Add(1); c.maxOpen > 0 && n > c.maxOpen {
		c.open.Add(-1)
		ex.closed = true
		c.count.Add("requests_refused_at_the_door", 1)
		client.Refuse(refusedFor, logic.NotSent)
		return Ticket{c, ex}
	}
	c.post(func() { c.admission.admit(ex) })
	return Ticket{c, ex}
}

// Leave says that the client has gone away. Nothing more is sent for it.
func (t Ticket) Leave() {
	at := time.Now()
	t.core.post(func() { t.core.completion.left(t.ex, at) })
}
