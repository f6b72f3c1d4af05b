// Package console implements the operators' HTTP interface: readiness, metrics, the state of the
// fleet, and suspending and resuming workers by hand. It serves HTTP/1.1 with one call per
// connection, on a separate listener and server, so that it stays reachable under client load.
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

// MaxConns is the maximum number of the console's connections. Beyond it, the least useful one is
// closed: one that lingers, is idle, or is slowest to send its call.
const MaxConns = 16

const (
	readyPath   = "/v1/readyz"
	workersPath = "/v1/workers/"
	fleetPath   = "/v1/fleet/"
	metricsPath = "/v1/metrics"
)

var errNoPath = errors.New("no such path")

// Workers suspends workers, so that they get no new requests, and resumes them.
type Workers interface {
	Suspend(name string) error
	Resume(name string) error
}

// Console serves the calls of operators.
type Console struct {
	ready   func() bool
	workers Workers // nil: no front supports suspending workers
	fleet   Fleet   // nil: no fleet pages
	metrics Metrics // nil: no metrics page

	metricsType string
}

// Metrics are the process's metrics, for scraping.
type Metrics interface {
	// Write writes all metrics as text.
	Write(w io.Writer) error
}

// WithMetrics makes the console serve metrics with the given content type.
func (c *Console) WithMetrics(m Metrics, contentType string) *Console {
	c.metrics, c.metricsType = m, contentType
	return c
}

// Fleet provides the state and the actions of a fleet of routers.
type Fleet interface {
	// Page returns the content of the named page and whether it exists. The content is sent as
	// JSON, except that an io.ReadCloser is streamed unchanged and closed.
	Page(name string) (any, bool)
	// Do performs the named action. If it returns an error, nothing was changed.
	Do(name string) error
}

// WithFleet makes the console serve the pages and actions of a fleet.
func (c *Console) WithFleet(f Fleet) *Console {
	c.fleet = f
	return c
}

// New returns a console; ready reports whether this process accepts clients.
func New(ready func() bool, workers Workers) *Console {
	return &Console{ready: ready, workers: workers}
}

// Server returns the console's server on l.
func (c *Console) Server(l net.Listener, counters router.Counters) *downstream.Server {
	return downstream.NewServer(l, downstream.Config{Handler: c.Handle, Problem: downstream.TextProblem,
		MaxBody: 4 << 10, MaxConns: MaxConns, Counters: counters})
}

// Handle serves one call and closes its connection afterwards.
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
