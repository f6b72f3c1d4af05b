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

// deployment is what a customer's settings say.
type deployment struct {
	name                          string
	reader, writer, mixed         string // kinds; empty: it has none
	repeatable, keyed, once       string // classes; empty: it has none
	tenant                        string
	tries                         int
	grace, release, idle, connect time.Duration
	advice                        time.Duration // the longest; 0: clients are not told when to come back
	window                        time.Duration // in which repeats by key are discarded; 0: 5 s
	asked                         bool          // lists are asked for
}

// The figures of the deployments that this router is run for, and of those under deploy/sites.
var deployments = []deployment{
	{name: "busan", reader: "prefill", writer: "decode", mixed: "mixed", repeatable: "chart-query", once: "correction-file", tenant: "seoho-ferries",
		tries: 5, grace: 250 * time.Millisecond, release: 300 * time.Millisecond, idle: 30 * time.Second, connect: 250 * time.Millisecond, advice: 2 * time.Second},
	{name: "mvd", reader: "lectura", writer: "respuesta", repeatable: "consulta", tenant: "montevideo",
		tries: 6, grace: 250 * time.Millisecond, release: 500 * time.Millisecond, idle: 30 * time.Second, connect: 250 * time.Millisecond, advice: time.Second},
	{name: "ticket-desk", reader: "intake", writer: "voice", mixed: "either", repeatable: "browse", keyed: "seat-hold", once: "seat-pay", tenant: "night-hall",
		tries: 4, grace: 150 * time.Millisecond, release: 200 * time.Millisecond, idle: 8 * time.Second, connect: 180 * time.Millisecond, advice: 300 * time.Millisecond},
	{name: "asked-lists", reader: "reading", writer: "answering", repeatable: "lookup", once: "appeal", tenant: "office",
		tries: 3, grace: 250 * time.Millisecond, release: 350 * time.Millisecond, idle: 30 * time.Second, connect: 250 * time.Millisecond, asked: true},
}

func (d *deployment) settings() string {
	var kinds, roles, memory, classes, aims, paces []string
	for _, k := range [][2]string{{d.reader, "read"}, {d.writer, "write"}, {d.mixed, "both"}} {
		if k[0] != "" {
			kinds, roles, memory = append(kinds, fmt.Sprintf("%q", k[0])), append(roles, fmt.Sprintf("%q", k[1])), append(memory, "200000")
		}
	}
	for _, c := range [][2]string{{d.repeatable, "repeatable"}, {d.keyed, "by_key"}, {d.once, "once"}} {
		if c[0] != "" {
			classes = append(classes, fmt.Sprintf(`{"name":%q,"effect":%q,"group":"all","points":1.0,"target-ns":1500000000,"late-share":0.2,"repeat-window-ns":%d}`, c[0], c[1], cmp.Or(d.window, 5*time.Second).Nanoseconds()))
			aims, paces = append(aims, "40000.0"), append(paces, "60000000")
		}
	}
	mode := ""
	if d.asked {
		mode = `"membership-mode":"subscribe",`
	}
	all := func(list []string) string { return strings.Join(list, ",") }
	return fmt.Sprintf(`{"balancers":1,%s"my-zone":0,"zones":["z1"],"skus":[%s],
 "bounds":{"cancel":true,"retry-after":%v,"max-retry-after-ns":%d,"most-tries":%d,"connect-timeout-ns":%d,"conn-idle-ns":%d,"open-cap":1000},
 "categories":[%s],
 "extra":{"aim-us-per-1000-prompt-tokens":[%s],"token-aim-ns":[%s],"kind-memory-tokens":[%s],"role-by-kind":[%s],"release-ns":%d,"read-in-place":false},
 "realms":[{"name":%q,"quota-per-s":1000.0,"share":1.0}],
 "safety":{"cold-share":0.3,"fall-multiple":2.5,"fall-ns":1500000000,"stop-sending-within-ns":%d,"warm-within-ns":10000000000},
 "load-info":{"columns":[],"how":"none"},"over-share-worth":0.1}`, mode, all(kinds), d.advice > 0, d.advice.Nanoseconds(), d.tries,
		d.connect.Nanoseconds(), d.idle.Nanoseconds(), all(classes), all(aims), all(paces), all(memory), all(roles), d.release.Nanoseconds(),
		d.tenant, d.grace.Nanoseconds())
}

// start starts the program on the deployment, before these workers.
func (d *deployment) start(t *testing.T, workers ...*worker) *program {
	disc := newDiscovery(t)
	disc.list(true, "in_service", workers...)
	return platformOf(t, disc, configOf(t, `{"generation":0,"reset":true,"instances":[]}`, d.settings())).waitReady()
}

// Each deployment's own figures are acted on, and none of another one's.
func TestEveryDeploymentGoesByItsOwnFigures(t *testing.T) {
	for i := range deployments {
		d, other := &deployments[i], &deployments[(i+1)%len(deployments)]
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			var fails, holds []*worker
			fail := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
			for n := range d.tries + 2 { // all readers fail: each try is counted
				fails = append(fails, newWorker(t, fmt.Sprintf("s-000003%02x", n), d.reader, fail))
			}
			fails = append(fails, newWorker(t, "s-00000400", d.writer, write))
			p := d.start(t, fails...)
			require.Equal(t, http.StatusBadRequest, p.ask(other.repeatable, newID(), time.Second).status, "a class of %s", other.name)
			require.Zero(t, posts(fails...))
			a := p.ask(d.repeatable, newID(), 4*time.Second)
			require.Equal(t, http.StatusServiceUnavailable, a.status)
			require.Equal(t, d.tries, posts(fails...), "tries")
			require.Equal(t, d.advice > 0, a.header.Get("Retry-After") != "", "advice %q", a.header.Get("Retry-After"))
			if d.advice > 0 {
				after, err := time.ParseDuration(a.header.Get("Retry-After") + "s")
				require.NoError(t, err)
				require.LessOrEqual(t, after, d.advice)
			}

			full := func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Unprocessed", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			gone := make(chan time.Time, 16)
			holds = []*worker{newWorker(t, "s-00000500", d.reader, read), newWorker(t, "s-00000600", d.writer, full)}
			for _, k := range holds {
				k.gone = func(string) { gone <- time.Now() }
			}
			p = d.start(t, holds...)
			require.Equal(t, http.StatusServiceUnavailable, p.ask(d.repeatable, newID(), 4*time.Second).status)
			reads := holds[0].got(http.MethodPost)
			require.NotEmpty(t, reads)
			last := <-gone
			require.Less(t, last.Sub(reads[0].at), d.release+300*time.Millisecond, "the state is let go of")

			if d.once == "" {
				return
			}
			for _, class := range []string{d.once, d.keyed} { // what may have run at a writer
				if class == "" {
					continue
				}
				breaks := []*worker{newWorker(t, "s-00000700", d.reader, read), newWorker(t, "s-00000800", d.writer, cut), newWorker(t, "s-00000900", d.writer, cut)}
				p = d.start(t, breaks...)
				a := p.ask(class, newID(), 4*time.Second)
				ran := posts(breaks[1:]...)
				if class == d.once {
					require.Equal(t, 1, ran)
					require.NotContains(t, []int{200, 429, 503}, a.status, "a refusal would have it sent again")
				} else {
					require.Greater(t, ran, 1, "its workers discard repeats")
				}
			}
		})
	}
}
