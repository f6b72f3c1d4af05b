package platform

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"lichenshelf/downstream"
	"lichenshelf/logic"
	"lichenshelf/router"
	"lichenshelf/upstream"
)

const (
	chatPath     = "/v1/chat/completions"
	healthPath   = "/healthz"
	holdsPath    = "/v1/holds/"
	headerName   = "X-Correlation-Id"
	headerClass  = "X-Service-Class"
	headerTenant = "X-Account"
	headerKey    = "X-Session-Key"
	headerWait   = "X-Time-Left-Ms"
	headerFacts  = "X-Facts"
	headerRepeat = "X-Repeat"
	headerHint   = "X-Weight-Hint"
	headerNotRun = "X-Unprocessed"
	headerLoad   = "X-Backend-Load"
)

// MaxBody is the maximum size of a request body in bytes.
const MaxBody = 256 << 10

var (
	errNoPath   = errors.New("no such path")
	errRefused  = errors.New("no room for the request now")
	errShutOut  = errors.New("this router lies behind the others and takes nothing new")
	errTimedOut = errors.New("no worker answered in time")
	errFailed   = errors.New("the request failed")
	errRejected = errors.New("a worker found fault with the request")
)

// Front translates HTTP calls of clients into requests to the core, and the core's answers into
// HTTP responses.
type Front struct {
	cfg     *Config
	ready   func() bool
	shut    atomic.Bool
	classes atomic.Pointer[classTable]
}

// classTable holds the rules of all request classes by index, and the index of each class name
// that clients may currently use. A class that was removed or changed keeps its index for the
// requests that are still open in it.
type classTable struct {
	Rules []logic.Class
	Names []string // by index, as Rules
	Index map[string]int
}

// find returns the index of a past or present class with this name and these rules, or -1.
func (t *classTable) find(name string, rules logic.Class) int {
	for i := range t.Rules {
		if t.Names[i] == name && t.Rules[i] == rules {
			return i
		}
	}
	return -1
}

// classNames returns the names of a configuration's classes by index.
func classNames(cfg *Config) []string {
	names := make([]string, len(cfg.Settings.Classes))
	for name, i := range cfg.names["class"] {
		if i < len(names) {
			names[i] = name
		}
	}
	return names
}

// NewFront returns a front; ready reports whether the router can serve requests.
func NewFront(cfg *Config, ready func() bool) *Front {
	f := &Front{cfg: cfg, ready: ready}
	f.classes.Store(&classTable{Rules: cfg.Settings.Classes, Names: classNames(cfg), Index: cfg.names["class"]})
	return f
}

// Retune takes over the classes of a reloaded configuration and returns the rules by index, for
// the core. A class whose name and rules match an earlier one keeps its index; a new or changed
// class gets a new index. New requests use the new classes once publish has been called. Call
// publish only after the core has the rules: the core treats a class that it does not know as one
// whose requests may be repeated freely.
func (f *Front) Retune(next *Config) (rules []logic.Class, publish func()) {
	was := f.classes.Load()
	now := &classTable{Rules: slices.Clone(was.Rules), Names: slices.Clone(was.Names), Index: map[string]int{}}
	for i, name := range classNames(next) {
		rules := next.Settings.Classes[i]
		index := now.find(name, rules)
		if index < 0 {
			index = len(now.Rules)
			now.Rules, now.Names = append(now.Rules, rules), append(now.Names, name)
		}
		now.Index[name] = index
	}
	return now.Rules, func() { f.classes.Store(now) }
}

// Shut makes the front refuse new requests, or accept them again. Open requests complete as usual.
func (f *Front) Shut(shut bool) { f.shut.Store(shut) }

// Handle serves one HTTP call.
func (f *Front) Handle(call *downstream.Call) {
	path, _, _ := strings.Cut(string(call.Request.Header.RequestURI()), "?")
	switch path {
	case healthPath:
		call.Ready(func() bool { return f.ready() && !f.shut.Load() })
	case chatPath:
		switch {
		case f.shut.Load():
			f.setRetryAfter(call, time.Second)
			call.Problem(fasthttp.StatusServiceUnavailable, errShutOut)
		case call.Allow(fasthttp.MethodPost):
			f.chat(call)
		}
	default:
		call.Problem(fasthttp.StatusNotFound, errNoPath)
	}
}

func (f *Front) chat(call *downstream.Call) {
	r, err := f.request(&call.Request.Header)
	if err != nil {
		call.Problem(fasthttp.StatusBadRequest, err)
		return
	}
	body, release, ok := call.Body()
	if !ok {
		return
	}
	defer release()
	r.Received, r.Read = call.Received, call.ReadWhole
	r.Payload = message(call, body)
	answer := call.Route(r)
	switch {
	case answer.Body != nil:
		call.Stream("text/event-stream", answer.Body)
	case answer.Last == logic.Rejected:
		call.Problem(fasthttp.StatusBadRequest, errRejected)
	case answer.Refused:
		f.setRetryAfter(call, answer.RetryAfter)
		call.Problem(fasthttp.StatusServiceUnavailable, errRefused)
	case answer.Left:
		call.Response.SetConnectionClose()
	case answer.Last == logic.TimedOut:
		call.Problem(fasthttp.StatusGatewayTimeout, errTimedOut)
	default:
		call.Problem(fasthttp.StatusBadGateway, errFailed)
	}
}

// setRetryAfter sets the Retry-After header if the settings allow it, up to their maximum.
func (f *Front) setRetryAfter(call *downstream.Call, after time.Duration) {
	s := &f.cfg.Settings
	if after = min(after, s.MaxRetryAfter); s.RetryAfter && after > 0 {
		call.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
}

// message copies the parts of the call that are forwarded to workers; the server reuses the call's
// header buffers.
func message(call *downstream.Call, body []byte) *upstream.Message {
	m := &upstream.Message{
		Method: string(call.Method()), URI: string(call.Request.Header.RequestURI()),
		Body: body, Stream: true,
	}
	for k, v := range call.Request.Header.All() {
		switch http.CanonicalHeaderKey(string(k)) {
		case "Host", "Connection", "Content-Length", "Transfer-Encoding", "Keep-Alive", "Te", "Trailer",
			"Upgrade", "Expect", "Proxy-Connection", headerWait:
		default:
			m.Header = append(m.Header, [2]string{string(k), string(v)})
		}
	}
	return m
}

// request parses the headers that routing decisions depend on.
func (f *Front) request(h *fasthttp.RequestHeader) (*router.Request, error) {
	get := func(name string) string { return string(h.Peek(name)) }
	r := &router.Request{Name: get(headerName)}
	if !cleanName(r.Name) {
		return nil, fmt.Errorf("%s is missing or malformed", headerName)
	}
	class, ok := f.classes.Load().Index[flatReplacer.Replace(get(headerClass))]
	if !ok {
		return nil, fmt.Errorf("%s names no class", headerClass)
	}
	r.Class = class
	r.Tenant = f.cfg.index("tenant", get(headerTenant))
	r.Session = logic.Key(numericKey(get(headerKey)))
	ms, err := strconv.ParseUint(get(headerWait), 10, 31)
	if err != nil {
		return nil, fmt.Errorf("%s is not a number of milliseconds", headerWait)
	}
	r.Patience = time.Duration(ms) * time.Millisecond
	r.Resumed = get(headerRepeat) == "again"
	if hint := get(headerHint); hint != "" {
		us, err := strconv.ParseFloat(hint, 64)
		if err != nil || !(us >= 0 && us < 1e12) {
			return nil, fmt.Errorf("%s is not a number of microseconds", headerHint)
		}
		r.Hinted, r.AnswerHint = true, time.Duration(us*1e3)
	}
	return r, parseFacts(&r.Request, get(headerFacts))
}

// cleanName reports whether a request name can be used unescaped as a URL path element.
func cleanName(s string) bool {
	for _, c := range s {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_' || c == '.') {
			return false
		}
	}
	return s != "" && len(s) <= 128
}

func parseFacts(r *logic.Request, text string) error {
	if text == "" {
		return fmt.Errorf("%s is missing", headerFacts)
	}
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		var to *float64
		switch name {
		case "prefix":
			r.Prefix = logic.Key(numericKey(value))
			continue
		case "prompt_len":
			to = &r.PromptTokens
		case "prefix_len":
			to = &r.PrefixTokens
		case "max_out":
			to = &r.MaxTokens
		default: // unknown facts are ignored, since more may be added to the protocol
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v <= 1e9) {
			return fmt.Errorf("%s: %s is not a length in tokens", headerFacts, name)
		}
		*to = v
	}
	return nil
}

// ClassifyAnswer maps a worker's non-streaming answer to the outcome of the attempt.
func ClassifyAnswer(status int, header *fasthttp.ResponseHeader, body []byte) router.Outcome {
	neverRan := string(header.Peek(headerNotRun)) == "1"
	switch {
	case status == fasthttp.StatusAccepted:
		return router.Outcome{Status: logic.PromptRead, Kept: upstream.CachedTokens(body)}
	case status == fasthttp.StatusGone && neverRan:
		return router.Outcome{Status: logic.Full, Kept: 1}
	case (status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusGatewayTimeout) && neverRan:
		return router.Outcome{Status: logic.Full}
	case status == fasthttp.StatusRequestTimeout || status == fasthttp.StatusGone || status == fasthttp.StatusTooManyRequests:
	case status/100 == 4:
		return router.Outcome{Status: logic.Rejected}
	}
	return router.Outcome{Status: logic.ServerError}
}
