package host

import (
	"net/http"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/pipeline"
	"berylswitch.example/berylswitch/internal/report"
	"berylswitch.example/berylswitch/internal/settings"
	"berylswitch.example/berylswitch/pkg/caller"
	"github.com/emicklei/go-restful/v3"
	metrics "github.com/rcrowley/go-metrics"
)

// metricsPath is where a host gives its metrics as JSON.
const metricsPath = "/v1/metrics"

func provideReport(s *settings.Settings, c *clock.Service) *report.Recorder {
	return &report.Recorder{Clock: c, Name: s.Name}
}

// addReports adds the routes of the report and of the metrics.
func (h *Host) addReports(ws *restful.WebService) {
	ws.Route(ws.GET(report.Path[len(ws.RootPath()):]).To(h.report))
	ws.Route(ws.GET(metricsPath[len(ws.RootPath()):]).To(h.metrics))
}

func (h *Host) report(_ *restful.Request, resp *restful.Response) {
	resp.WriteHeaderAndJson(http.StatusOK, h.Report.Host(), restful.MIME_JSON)
}

func (h *Host) metrics(_ *restful.Request, resp *restful.Response) {
	resp.AddHeader("Content-Type", restful.MIME_JSON)
	metrics.WriteJSONOnce(h.Report.Registry(), resp)
}

// record counts the answer to a request that named a known workspace and
// pipeline; req is nil for others.
func (h *Host) record(req *pipeline.Request, start time.Time, a *caller.Answer) {
	if req == nil || req.Workspace == nil || req.Pipeline == nil {
		return
	}
	h.Report.Record(report.Outcome{
		Workspace: req.Workspace.Name,
		Pipeline:  req.Pipeline.Name,
		Objective: req.Pipeline.Objective,
		Deadline:  req.Deadline.Sub(start),
		Answer:    a,
	})
}
