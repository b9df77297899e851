package gateway

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"github.com/rcrowley/go-metrics"
)

// failingDirectory can't renew the registration the first time.
type failingDirectory struct{ renewals atomic.Int64 }

func (*failingDirectory) Hosts(context.Context) ([]netip.AddrPort, error) { return nil, nil }

func (d *failingDirectory) Renew(context.Context) error {
	if d.renewals.Add(1) == 1 {
		return errors.New("store is unavailable")
	}
	return nil
}

// TestNewEraRenewsRegistration guards against a host whose registration stays lost after the
// store came back from a copy: hosts that start later would not find it. Each era counts once,
// whichever topic tells of it first.
func TestNewEraRenewsRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := prepareFixture(t, route(catalog.Safe, nil), respondsWith("x"))
		d := &failingDirectory{}
		r.host.Directory = d
		r.start()
		defer r.close()
		for _, era := range []catalog.Era{1, 2, 2, 3} {
			r.host.Follower.ApplyTableUpdate(catalog.TableUpdate{Full: true, Next: 1, Era: era}, catalog.Source{Name: "store"})
			r.host.Follower.ApplyTargets(catalog.TargetsUpdate{Full: true, Next: 1, Era: era})
			time.Sleep(2 * renewInterval)
		}
		if n := metrics.GetOrRegisterCounter(newEraCounter, r.host.Metrics).Count(); n != 2 {
			t.Errorf("%d new eras counted, want 2", n)
		}
		if n := d.renewals.Load(); n != 3 {
			t.Errorf("%d renewals tried, want 3", n)
		}
	})
}
