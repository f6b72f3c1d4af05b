// Package console is the operators' address: readiness, metrics, and workers taken out
// and put back by hand. It speaks HTTP/1.1 with one call to a connection, over a
// listener and a server of its own, so that no client's load stands before it.
package console

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/url"
	"strings"

	"github.com/valyala/fasthttp"

	"lichenshelf/cordon"
	"lichenshelf/downstream"
	"lichenshelf/router"
)

// MaxConns bounds the console's connections. Past it the one that is missed
// least gives way: one that lingers, idles or is slowest to send its call.
const MaxConns = 16

const (
	readyPath   = "/v1/readyz"
	workersPath = "/v1/workers/"
	fleetPath   = "/v1/fleet/"
	metricsPath = "/v1/metrics"
)

var errNoPath = errors.New("no such path")

// Workers is what takes workers out and puts them back.
type Workers interface {
	Suspend(name string) error
	Resume(name string) error
}

// Console answers operators' calls.
type Console struct {
	ready   func() bool
	workers Workers // nil: no front takes workers by hand
	fleet   Fleet   // nil: none
	metrics Metrics // nil: none

	metricsType string
}

// Metrics are figures for who scrapes them.
type Metrics interface {
	// Write writes them as text.
	Write(w io.Writer) error
}

// WithMetrics makes the console answer with metrics of a content type.
func (c *Console) WithMetrics(m Metrics, contentType string) *Console {
	c.metrics, c.metricsType = m, contentType
	return c
}

// Fleet is what there is to see of a fleet of routers.
type Fleet interface {
	// Page returns what goes by a name, to be shown as JSON; an io.ReadCloser is sent as it
	// is, and closed.
	Page(name string) (any, bool)
	// Do does what goes by a name; an error says why not, and nothing was done then.
	Do(name string) error
}

// WithFleet makes the console show the fleet.
func (c *Console) WithFleet(f Fleet) *Console {
	c.fleet = f
	return c
}

// New returns a console; ready tells whether this process takes clients.
func New(ready func() bool, workers Workers) *Console {
	return &Console{ready: ready, workers: workers}
}

// Server returns the console's server over l.
func (c *Console) Server(l net.Listener, counters router.Counters) *downstream.Server {
	return downstream.NewServer(l, downstream.Config{Handler: c.Handle, Problem: downstream.TextProblem,
		MaxBody: 4 << 10, MaxConns: MaxConns, Counters: counters})
}

// Handle answers one call, and closes its connection after.
func (c *Console) Handle(call *downstream.Call) {
	call.Response.SetConnectionClose()
	path, _, _ := strings.Cut(string(call.Request.Header.RequestURI()), "?")
	switch {
	case path == readyPath:
		call.Ready(c.ready)
	case path == metricsPath && c.metrics != nil:
		c.scrape(call)
	case c.fleet != nil && strings.HasPrefix(path, fleetPath):
		c.page(call, strings.TrimPrefix(path, fleetPath))
	case strings.HasPrefix(path, workersPath):
		c.worker(call, strings.TrimPrefix(path, workersPath))
	default:
		call.Problem(fasthttp.StatusNotFound, errNoPath)
	}
}

func (c *Console) scrape(call *downstream.Call) {
	if !call.Allow(fasthttp.MethodGet) {
		return
	}
	var text bytes.Buffer
	if err := c.metrics.Write(&text); err != nil {
		call.Problem(fasthttp.StatusInternalServerError, err)
		return
	}
	call.SetContentType(c.metricsType)
	call.SetBody(text.Bytes())
}

func (c *Console) page(call *downstream.Call, name string) {
	if call.Request.Header.IsPost() {
		if err := c.fleet.Do(name); err != nil {
			call.Problem(fasthttp.StatusConflict, err)
		}
		return
	}
	if !call.Allow(fasthttp.MethodGet) {
		return
	}
	name, err := url.PathUnescape(name)
	if err != nil {
		call.Problem(fasthttp.StatusNotFound, errNoPath)
		return
	}
	page, ok := c.fleet.Page(name)
	if !ok {
		call.Problem(fasthttp.StatusNotFound, errNoPath)
		return
	}
	if body, ok := page.(io.ReadCloser); ok {
		call.Stream("application/octet-stream", body)
		return
	}
	text, err := json.Marshal(page)
	if err != nil {
		call.Problem(fasthttp.StatusInternalServerError, err)
		return
	}
	call.SetContentType("application/json")
	call.SetBody(text)
}

func (c *Console) worker(call *downstream.Call, rest string) {
	slash := strings.LastIndexByte(rest, '/')
	if slash <= 0 {
		call.Problem(fasthttp.StatusNotFound, errNoPath)
		return
	}
	name, verb := rest[:slash], rest[slash+1:]
	var do func(string) error
	var done string
	switch {
	case c.workers == nil:
		call.Problem(fasthttp.StatusNotFound, errNoPath)
		return
	case verb == "suspend":
		do, done = c.workers.Suspend, "suspended"
	case verb == "resume":
		do, done = c.workers.Resume, "resumed"
	default:
		call.Problem(fasthttp.StatusNotFound, errNoPath)
		return
	}
	if !call.Allow(fasthttp.MethodPost) {
		return
	}
	err := do(name)
	switch {
	case errors.Is(err, cordon.ErrUnknown):
		call.Problem(fasthttp.StatusNotFound, err)
	case err != nil:
		call.Problem(fasthttp.StatusInternalServerError, err)
	default:
		call.SetBodyString(done + " " + name + "\n")
	}
}
