package router

import (
	"time"

	"lichenshelf/logic"
)

// refusalRetryAfter is the retry advice for requests refused because too many are open.
const refusalRetryAfter = time.Second

// Ticket identifies a submitted request.
type Ticket struct {
	core *Core
	ex   *exchange
}

// Submit accepts a request from any goroutine. Its answer goes to client, exactly once. It is
// refused at once if the bound on open requests is exceeded.
func (c *Core) Submit(r *Request, client Client) Ticket {
	ex := &exchange{Request: r, client: client, lastStatus: logic.NotSent}
	c.count.Add("requests_taken", 1)
	if n := c.open.Add(1); c.maxOpen > 0 && n > c.maxOpen {
		c.open.Add(-1)
		ex.closed = true
		c.count.Add("requests_refused_at_the_door", 1)
		client.Refuse(refusalRetryAfter, logic.NotSent)
		return Ticket{c, ex}
	}
	c.post(func() { c.admission.admit(ex) })
	return Ticket{c, ex}
}

// Leave reports that the client has left. Nothing more is sent for the request.
func (t Ticket) Leave() {
	at := time.Now()
	t.core.post(func() { t.core.completion.clientLeft(t.ex, at) })
}
