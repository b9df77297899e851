package gateway

import (
	"io"
	"net/http"
	"time"

	"berylswitch.example/berylswitch/pkg/result"
	"github.com/emicklei/go-restful/v3"
	"github.com/rcrowley/go-metrics"
)

// sampleSize is the number of values that a histogram samples.
const sampleSize = 1024

// readyHandler answers the readiness probes of the load balancer.
func (h *Host) readyHandler() http.Handler {
	return singleRouteHandler(h.Format.ReadyPath(), func(_ *restful.Request, resp *restful.Response) {
		if !h.ready() {
			resp.WriteErrorString(http.StatusServiceUnavailable, "not ready\n")
			return
		}
		io.WriteString(resp, "ready\n")
	})
}

// metricsHandler serves all metrics as JSON, with times in nanoseconds.
func (h *Host) metricsHandler() http.Handler {
	return singleRouteHandler("/metrics", func(_ *restful.Request, resp *restful.Response) {
		metrics.GetOrRegisterGauge("Requests.Open", h.Metrics).Update(h.openRequests.Load())
		metrics.GetOrRegisterGauge(evacuatedGauge, h.Metrics).Update(int64(len(h.Follower.Snapshot().Evacuated)))
		metrics.GetOrRegisterGauge("Cold.Targets", h.Metrics).Update(int64(h.Backpressure.ColdTargets()))
		h.recordCallerLimits()
		resp.AddHeader("Content-Type", "application/json")
		resp.WriteHeader(http.StatusOK)
		metrics.WriteJSONOnce(h.Metrics, resp)
	})
}

// recordCallerLimits records what callers take at present.
func (h *Host) recordCallerLimits() {
	for name, n := range map[string]int64{
		"Connections.Open":   int64(h.conns.count()),
		"Memory.Headers":     h.conns.Headers.Used(),
		"Memory.SmallBodies": h.bodies.small.Used(),
		"Memory.Bodies":      h.bodies.large.Used(),
		"Memory.Responses":   h.ResponseMemory.Used(),
		"Memory.Streams":     h.streamMemory.Used(),
	} {
		metrics.GetOrRegisterGauge(name, h.Metrics).Update(n)
	}
}

// singleRouteHandler returns a handler that serves GET requests of path with f.
func singleRouteHandler(path string, f restful.RouteFunction) http.Handler {
	ws := new(restful.WebService)
	ws.Path(path).Produces("*/*")
	ws.Route(ws.GET("").To(f))
	c := restful.NewContainer()
	c.Add(ws)
	return c
}

// recordMetrics records a finished request.
func (h *Host) recordMetrics(q *request, code result.Code, took time.Duration) {
	metrics.GetOrRegisterCounter("Requests."+code.String(), h.Metrics).Inc(1)
	if q.route == nil {
		return
	}
	h.histogram("Requests.Took." + q.route.Kind.String()).Update(int64(took))
	if q.timeToFirstEvent > 0 {
		h.histogram("Requests.FirstEvent").Update(int64(q.timeToFirstEvent))
	}
	if q.stagesTook > 0 {
		h.histogram("Requests.Stages").Update(int64(q.stagesTook))
	}
	metrics.GetOrRegisterCounter("Sends."+q.route.Kind.String(), h.Metrics).Inc(int64(q.sends))
}

func (h *Host) histogram(name string) metrics.Histogram {
	return h.Metrics.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(sampleSize))
	}).(metrics.Histogram)
}
