package host

import (
	"net/http"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/report"
	"berylswitch.example/berylswitch/internal/settings"
	"berylswitch.example/berylswitch/pkg/caller"
	"github.com/emicklei/go-restful/v3"
)

func provideReport(s *settings.Settings, c *clock.Service) *report.Recorder {
	return &report.Recorder{Clock: c, Name: s.Name}
}

// addReport adds the route that serves the host's report.
func (h *Host) addReport(ws *restful.WebService) {
	ws.Route(ws.GET(report.Path[len(ws.RootPath()):]).To(h.report))
}

func (h *Host) report(_ *restful.Request, resp *restful.Response) {
	resp.WriteHeaderAndJson(http.StatusOK, h.Report.Host(), restful.MIME_JSON)
}

// recordAnswer adds an answer to the report if its workspace and pipeline are
// declared; otherwise callers could fill the report with made-up names. An OK
// answer is always in time, since the host ends requests at their deadline.
func (h *Host) recordAnswer(workspace, pipeline string, a *caller.Answer) {
	state := h.Follower.State()
	if state == nil || state.View.Workspaces[workspace] == nil || state.View.Pipelines[pipeline] == nil {
		return
	}
	h.Report.Record(report.Outcome{
		Workspace: workspace,
		Pipeline:  pipeline,
		Objective: state.View.Pipelines[pipeline].Objective,
		Answer:    a,
	})
}
