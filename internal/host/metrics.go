package host

import (
	"net/http"

	"berylswitch.example/berylswitch/pkg/caller"
	"berylswitch.example/berylswitch/pkg/result"
	"github.com/emicklei/go-restful/v3"
	"github.com/rcrowley/go-metrics"
)

// sampleSize is the number of values in a histogram's uniform sample.
const sampleSize = 1024

// metrics writes all metrics as JSON. Times are in nanoseconds.
func (h *Host) metrics(_ *restful.Request, resp *restful.Response) {
	metrics.GetOrRegisterGauge("Requests.InFlight", h.Metrics).Update(int64(len(h.requests.ids())))
	resp.AddHeader("Content-Type", "application/json")
	resp.WriteHeader(http.StatusOK)
	metrics.WriteJSONOnce(h.Metrics, resp)
}

// countAnswer adds an answer to the metrics. The names of workspace and pipeline
// come from the caller, so only declared ones get metrics of their own.
func (h *Host) countAnswer(workspace, pipeline string, a *caller.Answer) {
	metrics.GetOrRegisterCounter("Requests."+a.Code.String(), h.Metrics).Inc(1)
	h.histogram("Requests.Took").Update(int64(a.Took))
	if a.Code == result.Unauthorized || a.Code == result.UnknownPipeline {
		return
	}
	state := h.Follower.State()
	if state == nil || state.View.Pipelines[pipeline] == nil || state.View.Workspaces[workspace] == nil {
		return
	}
	metrics.GetOrRegisterCounter("Workspaces."+workspace+"."+pipeline+"."+a.Code.String(), h.Metrics).Inc(1)
	for _, s := range a.Stages {
		prefix := "Stages." + pipeline + "." + s.Stage + "."
		h.histogram(prefix + "Queued").Update(int64(s.Queued))
		h.histogram(prefix + "Ran").Update(int64(s.Ran))
		metrics.GetOrRegisterCounter(prefix+"Cost", h.Metrics).Inc(int64(s.Cost))
		metrics.GetOrRegisterCounter(prefix+"Attempts", h.Metrics).Inc(int64(s.Attempts))
	}
}

func (h *Host) histogram(name string) metrics.Histogram {
	return h.Metrics.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(sampleSize))
	}).(metrics.Histogram)
}
