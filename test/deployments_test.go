package test

import (
	"cmp"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// deployment describes the settings of a customer.
type deployment struct {
	name                                                       string
	reader, writer, mixed                                      string // kinds; empty: it has none
	repeatable, keyed, once                                    string // classes; empty: it has none
	tenant                                                     string
	attempts                                                   int
	stopSendingWithin, releaseWithin, connIdle, connectTimeout time.Duration
	// maxRetryAfter is the largest Retry-After; 0: clients get none.
	maxRetryAfter time.Duration
	// repeatWindow is the time in which workers discard repeats by key; 0: 5 s.
	repeatWindow time.Duration
	// listsByRequest: discovery lists are requested, not watched.
	listsByRequest bool
}

// The settings of the deployments that run this router, and of those under deploy/sites.
var deployments = []deployment{
	{name: "busan", reader: "prefill", writer: "decode", mixed: "mixed", repeatable: "chart-query", once: "correction-file", tenant: "seoho-ferries",
		attempts: 5, stopSendingWithin: 250 * time.Millisecond, releaseWithin: 300 * time.Millisecond, connIdle: 30 * time.Second, connectTimeout: 250 * time.Millisecond, maxRetryAfter: 2 * time.Second},
	{name: "mvd", reader: "lectura", writer: "respuesta", repeatable: "consulta", tenant: "montevideo",
		attempts: 6, stopSendingWithin: 250 * time.Millisecond, releaseWithin: 500 * time.Millisecond, connIdle: 30 * time.Second, connectTimeout: 250 * time.Millisecond, maxRetryAfter: time.Second},
	{name: "ticket-desk", reader: "intake", writer: "voice", mixed: "either", repeatable: "browse", keyed: "seat-hold", once: "seat-pay", tenant: "night-hall",
		attempts: 4, stopSendingWithin: 150 * time.Millisecond, releaseWithin: 200 * time.Millisecond, connIdle: 8 * time.Second, connectTimeout: 180 * time.Millisecond, maxRetryAfter: 300 * time.Millisecond},
	{name: "asked-lists", reader: "reading", writer: "answering", repeatable: "lookup", once: "appeal", tenant: "office",
		attempts: 3, stopSendingWithin: 250 * time.Millisecond, releaseWithin: 350 * time.Millisecond, connIdle: 30 * time.Second, connectTimeout: 250 * time.Millisecond, listsByRequest: true},
}

func (d *deployment) settings() string {
	var kinds, roles, memory, classes, promptAims, tokenAims []string
	for _, k := range [][2]string{{d.reader, "read"}, {d.writer, "write"}, {d.mixed, "both"}} {
		if k[0] != "" {
			kinds, roles, memory = append(kinds, fmt.Sprintf("%q", k[0])), append(roles, fmt.Sprintf("%q", k[1])), append(memory, "200000")
		}
	}
	for _, c := range [][2]string{{d.repeatable, "repeatable"}, {d.keyed, "by_key"}, {d.once, "once"}} {
		if c[0] != "" {
			classes = append(classes, fmt.Sprintf(`{"name":%q,"effect":%q,"group":"all","points":1.0,"target-ns":1500000000,"late-share":0.2,"repeat-window-ns":%d}`, c[0], c[1], cmp.Or(d.repeatWindow, 5*time.Second).Nanoseconds()))
			promptAims, tokenAims = append(promptAims, "40000.0"), append(tokenAims, "60000000")
		}
	}
	mode := ""
	if d.listsByRequest {
		mode = `"membership-mode":"subscribe",`
	}
	all := func(list []string) string { return strings.Join(list, ",") }
	return fmt.Sprintf(`{"balancers":1,%s"my-zone":0,"zones":["z1"],"skus":[%s],
 "bounds":{"cancel":true,"retry-after":%v,"max-retry-after-ns":%d,"most-tries":%d,"connect-timeout-ns":%d,"conn-idle-ns":%d,"open-cap":1000},
 "categories":[%s],
 "extra":{"aim-us-per-1000-prompt-tokens":[%s],"token-aim-ns":[%s],"kind-memory-tokens":[%s],"role-by-kind":[%s],"release-ns":%d,"read-in-place":false},
 "realms":[{"name":%q,"quota-per-s":1000.0,"share":1.0}],
 "safety":{"cold-share":0.3,"fall-multiple":2.5,"fall-ns":1500000000,"stop-sending-within-ns":%d,"warm-within-ns":10000000000},
 "load-info":{"columns":[],"how":"none"},"over-share-worth":0.1}`, mode, all(kinds), d.maxRetryAfter > 0, d.maxRetryAfter.Nanoseconds(), d.attempts,
		d.connectTimeout.Nanoseconds(), d.connIdle.Nanoseconds(), all(classes), all(promptAims), all(tokenAims), all(memory), all(roles), d.releaseWithin.Nanoseconds(),
		d.tenant, d.stopSendingWithin.Nanoseconds())
}

// start starts the program with the deployment's settings and these workers.
func (d *deployment) start(t *testing.T, workers ...*worker) *program {
	disc := newDiscovery(t)
	disc.addList(true, "in_service", workers...)
	return startPlatformFromFile(t, disc, configOf(t, `{"generation":0,"reset":true,"instances":[]}`, d.settings())).waitReady()
}

// A router must act on the settings of its own deployment, and on none of another's.
func TestEveryDeploymentUsesItsOwnSettings(t *testing.T) {
	for i := range deployments {
		d, other := &deployments[i], &deployments[(i+1)%len(deployments)]
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			var fails, holds []*worker
			fail := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
			for n := range d.attempts + 2 { // all readers fail: each attempt is counted
				fails = append(fails, newWorker(t, fmt.Sprintf("s-000003%02x", n), d.reader, fail))
			}
			fails = append(fails, newWorker(t, "s-00000400", d.writer, serveStream))
			p := d.start(t, fails...)
			require.Equal(t, http.StatusBadRequest, p.ask(other.repeatable, newID(), time.Second).status, "a class of %s", other.name)
			require.Zero(t, countPosts(fails...))
			a := p.ask(d.repeatable, newID(), 4*time.Second)
			require.Equal(t, http.StatusServiceUnavailable, a.status)
			require.Equal(t, d.attempts, countPosts(fails...), "attempts")
			require.Equal(t, d.maxRetryAfter > 0, a.header.Get("Retry-After") != "", "Retry-After %q", a.header.Get("Retry-After"))
			if d.maxRetryAfter > 0 {
				after, err := time.ParseDuration(a.header.Get("Retry-After") + "s")
				require.NoError(t, err)
				require.LessOrEqual(t, after, d.maxRetryAfter)
			}

			full := func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Unprocessed", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			releases := make(chan time.Time, 16)
			holds = []*worker{newWorker(t, "s-00000500", d.reader, serveRead), newWorker(t, "s-00000600", d.writer, full)}
			for _, k := range holds {
				k.onRelease = func(string) { releases <- time.Now() }
			}
			p = d.start(t, holds...)
			require.Equal(t, http.StatusServiceUnavailable, p.ask(d.repeatable, newID(), 4*time.Second).status)
			reads := holds[0].received(http.MethodPost)
			require.NotEmpty(t, reads)
			last := <-releases
			require.Less(t, last.Sub(reads[0].at), d.releaseWithin+300*time.Millisecond, "the state is released")

			if d.once == "" {
				return
			}
			// Requests that may have run at a writer.
			for _, class := range []string{d.once, d.keyed} {
				if class == "" {
					continue
				}
				breaks := []*worker{newWorker(t, "s-00000700", d.reader, serveRead), newWorker(t, "s-00000800", d.writer, closeConnection), newWorker(t, "s-00000900", d.writer, closeConnection)}
				p = d.start(t, breaks...)
				a := p.ask(class, newID(), 4*time.Second)
				ran := countPosts(breaks[1:]...)
				if class == d.once {
					require.Equal(t, 1, ran)
					require.NotContains(t, []int{200, 429, 503}, a.status, "a refusal would make the client repeat it")
				} else {
					require.Greater(t, ran, 1, "its workers discard repeats")
				}
			}
		})
	}
}
