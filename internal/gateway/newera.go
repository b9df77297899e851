package gateway

import (
	"context"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/journal"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// newEraCounter counts how often this host learned that the store had come back from a copy.
const newEraCounter = "Store.NewEras"

// renewInterval is the time between two attempts to write a record again.
const renewInterval = time.Second

// renewRecords writes again what this host has written to the store and the store may have
// lost, since it came back from a copy: records of crashes, and the host's registration.
func (h *Host) renewRecords(ctx context.Context, era catalog.Era) {
	metrics.GetOrRegisterCounter(newEraCounter, h.Metrics).Inc(1)
	h.Crashes.ArchiveAgain()
	for {
		err := h.Directory.Renew(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		h.Log.Info("cannot renew the registration of this host", zap.Int64("Era", int64(era)), journal.Error(err))
		if h.Clock.Sleep(ctx, renewInterval) != nil {
			return
		}
	}
}
