package test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	chatPath   = "/v1/chat/completions"
	embedPath  = "/v1/embeddings"
	rerankPath = "/v1/rerank"
)

// model answers the three kinds of requests as a model server would.
func model(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case chatPath:
		serveStream(w, r)
	case embedPath:
		answerJSON(w, `{"object":"list","data":[{"object":"embedding","index":0,"embedding":[0.1]}],"model":"m"}`)
	case rerankPath:
		answerJSON(w, `{"id":"x","results":[{"index":1,"relevance_score":0.9},{"index":0,"relevance_score":0.1}]}`)
	}
}

func answerJSON(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, text)
}

// api is a running model API and its configuration file.
type api struct {
	*program
	file     string
	settings string
}

// modelAPI starts the model API with the given stand-ins as backends. settings are further lines of
// its file.
func modelAPI(t *testing.T, settings string, backends ...*worker) *api {
	addr := ownAddr(t)
	a := &api{file: filepath.Join(t.TempDir(), "modelapi.toml"),
		settings: fmt.Sprintf("listen = %q\n%s\n", addr, settings)}
	a.write(t, nil, backends...)
	a.program = start(t, addr, nil, "serve", "--modelapi", a.file).waitReady()
	return a
}

// write writes the configuration file with these backends, of which draining drains.
func (a *api) write(t *testing.T, draining *worker, backends ...*worker) {
	var text strings.Builder
	text.WriteString(a.settings)
	for _, b := range backends {
		fmt.Fprintf(&text, "[[backend]]\nname = %q\naddr = %q\ndraining = %v\n", b.name, b.Listener.Addr(), b == draining)
	}
	require.NoError(t, os.WriteFile(a.file, []byte(text.String()), 0o600))
}

func (a *api) post(path, key, body string) answer {
	req, err := http.NewRequest(http.MethodPost, "http://"+a.addr+path, strings.NewReader(body))
	require.NoError(a.t, err)
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	return do(req)
}

const (
	chatBody  = `{"model":"m","stream":true,"messages":[{"role":"system","content":"charts"},{"role":"user","content":"depth?"}]}`
	embedBody = `{"model":"m","input":["a notice","another"]}`
)

func rerankBody(passages int) string {
	docs := make([]string, passages)
	for i := range docs {
		docs[i] = fmt.Sprintf("correction %d of the light at the mole's head", i)
	}
	text, err := json.Marshal(map[string]any{"model": "m", "query": "which light?", "documents": docs, "top_n": 3})
	if err != nil {
		panic(err)
	}
	return string(text)
}

// errorType checks the form of an error object and returns its type.
func errorType(t *testing.T, a answer) (kind string) {
	t.Helper()
	var body struct {
		Error struct{ Message, Type string }
	}
	require.NoError(t, json.Unmarshal([]byte(a.body), &body), a.body)
	require.NotEmpty(t, body.Error.Message)
	require.Equal(t, "application/json", a.header.Get("Content-Type"))
	return body.Error.Type
}

func TestModelAPIServesAllThreeKinds(t *testing.T) {
	b := newWorker(t, "m-a", "model", model)
	a := modelAPI(t, "", b)
	chat := a.post(chatPath, "", chatBody)
	require.Equal(t, 200, chat.status)
	require.Equal(t, streamStart+streamEnd, chat.body)
	require.Equal(t, "text/event-stream", chat.header.Get("Content-Type"))
	embed := a.post(embedPath, "", embedBody)
	require.Equal(t, 200, embed.status)
	require.Contains(t, embed.body, `"embedding":[0.1]`)
	require.Equal(t, "application/json", embed.header.Get("Content-Type"))
	ranked := a.post(rerankPath, "", rerankBody(300))
	require.Equal(t, 200, ranked.status)
	require.Contains(t, ranked.body, "relevance_score")
	calls := b.received(http.MethodPost)
	require.Len(t, calls, 3)
	require.Equal(t, embedBody, string(calls[1].body), "the body passes unchanged")
	require.Empty(t, calls[1].header.Get("Authorization"))
	require.NotEmpty(t, embed.header.Get("X-Request-Id"))
	require.Equal(t, embed.header.Get("X-Request-Id"), calls[1].header.Get("X-Request-Id"))
}

func TestModelAPIErrorStatuses(t *testing.T) {
	strict := newWorker(t, "m-a", "model", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusUnprocessableEntity)
		_, _ = io.WriteString(w, `{"error":{"message":"no such dimension"}}`)
	})
	a := modelAPI(t, "max_body_bytes = 4096", strict)
	for body, path := range map[string]string{
		`{`: chatPath, `{"model":"m","messages":[]}`: chatPath, `{"messages":[{"role":"user","content":"x"}]}`: chatPath,
		`{"model":"m","messages":[{"role":"king","content":"x"}]}`: chatPath,
		`{"model":"m","input":[]}`:                                 embedPath, `{"model":"m","input":7}`: embedPath,
		`{"model":"m","input":"x","encoding_format":"odd"}`: embedPath,
		`{"model":"m","query":"","documents":["a"]}`:        rerankPath, `{"model":"m","query":"q","documents":[]}`: rerankPath,
		`{"model":"m","query":"q","documents":[3]}`: rerankPath, `{"model":"m","query":"q","documents":["a"],"top_n":0}`: rerankPath,
	} {
		bad := a.post(path, "", body)
		require.Equal(t, 400, bad.status, body)
		require.Equal(t, "invalid_request_error", errorType(t, bad))
	}
	require.Zero(t, countPosts(strict))
	require.Equal(t, 404, a.post("/v1/else", "", "{}").status)
	require.Equal(t, 405, a.status(http.MethodGet, rerankPath))
	big := a.post(rerankPath, "", rerankBody(300))
	if big.err == nil { // the connection may be closed while the client still sends the body
		require.Equal(t, 413, big.status)
		errorType(t, big)
	}
	passed := a.post(embedPath, "", embedBody)
	require.Equal(t, http.StatusUnprocessableEntity, passed.status, "the backend's answer to an invalid request is passed on")
	require.Equal(t, 1, countPosts(strict), "the request is not retried at another backend")
}

func TestModelAPIChecksAccountKeys(t *testing.T) {
	b := newWorker(t, "m-a", "model", model)
	a := modelAPI(t, "[[account]]\nname = \"desk\"\nkey = \"k1\"", b)
	require.Equal(t, 401, a.post(embedPath, "", embedBody).status)
	require.Equal(t, 401, a.post(embedPath, "k2", embedBody).status)
	require.Equal(t, 200, a.post(embedPath, "k1", embedBody).status)
}

func TestModelAPIDeadline(t *testing.T) {
	b := newWorker(t, "m-a", "model", neverAnswer)
	a := modelAPI(t, "[embeddings]\naim = \"100ms\"\ndeadline = \"400ms\"", b)
	late := a.post(embedPath, "", embedBody)
	require.Equal(t, http.StatusGatewayTimeout, late.status)
	errorType(t, late)
	require.Less(t, late.took, 400*time.Millisecond+loadTolerance)
}

func TestModelAPIRefusalHasRetryAfter(t *testing.T) {
	full := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) }
	b := newWorker(t, "m-a", "model", full)
	a := modelAPI(t, "[embeddings]\naim = \"100ms\"\ndeadline = \"300ms\"", b)
	r := a.post(embedPath, "", embedBody)
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.NotEmpty(t, r.header.Get("Retry-After"))
	errorType(t, r)
}

// An embeddings answer is buffered whole before it is sent, so one that breaks off can be retried
// at another backend.
func TestEmbeddingsThatBreakOffAreRetriedElsewhere(t *testing.T) {
	var once sync.Once
	breaks := func(w http.ResponseWriter, r *http.Request) {
		broken := false
		once.Do(func() {
			broken = true
			w.Header().Set("Content-Type", "application/json")
			w.Header().Set("Content-Length", "1000")
			_, _ = io.WriteString(w, `{"object":"list","data":[`)
			w.(http.Flusher).Flush()
			closeConnection(w, r)
		})
		if !broken {
			model(w, r)
		}
	}
	x, y := newWorker(t, "m-a", "model", breaks), newWorker(t, "m-b", "model", breaks)
	a := modelAPI(t, "", x, y)
	r := a.post(embedPath, "", embedBody)
	require.NoError(t, r.err)
	require.Equal(t, 200, r.status)
	require.Contains(t, r.body, `"embedding":[0.1]`)
	require.Equal(t, 2, countPosts(x, y))
}

// All three kinds of requests at once, one account far over its quota with batches of hundreds of
// passages, backends that are full or break off, and one that drains meanwhile: each request ends
// once, and nothing reaches the draining backend after the window.
func TestMixUnderASurgeAndADrain(t *testing.T) {
	var breakOff sync.Map
	limited := func() func(http.ResponseWriter, *http.Request) {
		slots := make(chan struct{}, 8)
		return func(w http.ResponseWriter, r *http.Request) {
			select {
			case slots <- struct{}{}:
				defer func() { <-slots }()
			default:
				w.WriteHeader(http.StatusTooManyRequests)
				return
			}
			time.Sleep(2 * time.Millisecond) // the work
			if _, seen := breakOff.LoadOrStore(r.URL.Path+r.RemoteAddr, true); !seen && r.URL.Path == embedPath {
				w.Header().Set("Content-Length", "1000")
				_, _ = io.WriteString(w, `{"object"`)
				closeConnection(w, r)
				return
			}
			model(w, r)
		}
	}
	x, y, z := newWorker(t, "m-a", "model", limited()), newWorker(t, "m-b", "model", limited()), newWorker(t, "m-c", "model", limited())
	a := modelAPI(t, `[[account]]
name = "desk"
key = "k1"
quota_per_s = 1000.0
[[account]]
name = "surging"
key = "k2"
quota_per_s = 2.0`, x, y, z)

	const each = 60
	bodies := map[string]string{chatPath: chatBody, embedPath: embedBody, rerankPath: rerankBody(400)}
	type result struct {
		answer
		path, key string
	}
	results := make(chan result, 6*each)
	run := func(path, key string) {
		for range each {
			results <- result{a.post(path, key, bodies[path]), path, key}
		}
	}
	for path := range bodies {
		go run(path, "k1")
		go run(path, "k2")
	}
	eventually(t, func() bool { return countPosts(z) > 0 }, "the third backend is in use")
	a.write(t, z, x, y, z)
	a.signal(syscall.SIGHUP)
	eventually(t, func() bool { return a.logged("backends read again") }, "the drain is applied")
	drainedAt := time.Now()
	served := map[string]int{}
	for range 6 * each {
		r := <-results
		require.NoError(t, r.err)
		switch r.status {
		case 200:
			served[r.key]++
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			require.NotEmpty(t, r.header.Get("Retry-After"))
			errorType(t, r.answer)
		default:
			require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, r.status)
			errorType(t, r.answer)
		}
	}
	require.NotZero(t, served["k1"])
	// After the window, requests go to the other backends only.
	before := countPosts(x, y)
	time.Sleep(max(0, 250*time.Millisecond-time.Since(drainedAt)))
	for path, body := range bodies {
		for range 5 {
			a.post(path, "k1", body)
		}
	}
	require.Greater(t, countPosts(x, y), before)
	for _, c := range z.received(http.MethodPost) {
		require.Less(t, c.at.Sub(drainedAt), 250*time.Millisecond)
	}
	a.signal(syscall.SIGTERM)
	a.waitExit()
	// Each accepted request was answered, refused or failed, once.
	sum := a.counter("answers_served") + a.counter("answers_refused") + a.counter("answers_failed") +
		a.counter("requests_refused_at_the_door")
	require.Equal(t, a.counter("requests_taken"), sum)
	require.Zero(t, a.counter("answers_broken"))
}

// counter returns the value of a counter that was logged last, 0 if none was.
func (p *program) counter(name string) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := bytes.LastIndex(p.log.Bytes(), []byte("\n"+name+" "))
	if i >= 0 {
		_, err := fmt.Sscan(string(p.log.Bytes()[i+len(name)+2:]), &n)
		require.NoError(p.t, err)
	}
	return n
}
