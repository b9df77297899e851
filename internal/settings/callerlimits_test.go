package settings

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// gatewayText is a valid settings file; %s stands for the fields of a test.
const gatewayText = `{"Name": "h", "Domain": "a", "CallerAddr": "10.0.0.1:80", "ReadyAddr": "10.0.0.1:81", "PeerAddr": "10.0.0.1:82",
"MetricsPort": 9464, "StoreAddr": "10.0.1.1:80", "CPUShare": 1, "CPUSpeed": 1, "LinkMbps": 100, "GracePeriod": "8s", "ApplyTime": "2s",
"RepeatRatio": 0.2, "RepeatSlack": 10, "RepeatWindow": "10s",
%s}`

// TestCallerLimits runs the scripts under testdata/gateway. Each input is the fields of a
// settings file that matter for the limits on callers, each output lists its problems or
// the limits in force, with receive buffers of the granted size if that is given. It guards against defaults that a host can't hold, or that callers
// within the configured limits reach.
func TestCallerLimits(t *testing.T) {
	datadriven.Walk(t, "testdata/gateway", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			g, err := ParseGateway("host.json", []byte(fmt.Sprintf(gatewayText, d.Input)))
			if err != nil {
				return err.Error() + "\n"
			}
			granted := 0
			d.MaybeScanArgs(t, "granted", &granted)
			return strings.ReplaceAll(fmt.Sprintf("%+v", g.CallerLimits(granted)), " ", "\n") + "\n"
		})
	})
}
