package standin

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"sort"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/contract"
	"github.com/zeebo/errs"
)

// maxOrders bounds the accepted orders that an engine records.
const maxOrders = 4096

// AcceptedOrder is an order that an engine accepted. Stale means that the engine
// had already seen a higher fencing number, so the sender no longer held the
// lease.
type AcceptedOrder struct {
	Order contract.Order
	At    time.Time
	Stale bool
}

// orderState is the part of an engine's state that orders change.
type orderState struct {
	mu       sync.Mutex
	anyModel bool // serves every model
	models   map[string]bool
	// loading holds the models that are being fetched from the weight store.
	loading      map[string]bool
	role         string
	highestFence int64
	accepted     []AcceptedOrder
}

// init sets the state of a new process. The accepted orders and the highest
// fencing number are kept.
func (o *orderState) init(models []string, role string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.anyModel = len(models) == 0
	o.models = map[string]bool{}
	for _, m := range models {
		o.models[m] = true
	}
	o.loading = map[string]bool{}
	o.role = role
}

// state returns the loaded models, sorted, and the role.
func (o *orderState) state() ([]string, string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var models []string
	for m := range o.models {
		models = append(models, m)
	}
	sort.Strings(models)
	return models, o.role
}

// apply applies an order; checks makes it refuse a stale one. It returns true for
// load if the caller has to load the model.
func (o *orderState) apply(order contract.Order, checks bool) (reply contract.OrderReply, load bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	stale := order.Fence < o.highestFence
	if stale && checks {
		return contract.OrderReply{Fence: o.highestFence, Reason: "stale fencing number"}, false
	}
	o.highestFence = max(o.highestFence, order.Fence)
	if len(o.accepted) < maxOrders {
		o.accepted = append(o.accepted, AcceptedOrder{Order: order, At: time.Now(), Stale: stale})
	}
	switch order.Kind {
	case contract.ChangeRole:
		o.role = order.Role
	case contract.LoadModel:
		load = !o.models[order.Model] && !o.loading[order.Model]
		o.loading[order.Model] = load || o.loading[order.Model]
	default:
		return contract.OrderReply{Fence: o.highestFence, Reason: "unknown order kind"}, false
	}
	return contract.OrderReply{Taken: true, Fence: o.highestFence}, load
}

// finishLoad records the end of the loading of a model; ok means that it
// succeeded.
func (o *orderState) finishLoad(model string, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.loading, model)
	if ok {
		o.models[model] = true
	}
}

// Orders returns the accepted orders, oldest first.
func (e *Engine) Orders() []AcceptedOrder {
	e.lock()
	defer e.engineMu.Unlock()
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	return append([]AcceptedOrder(nil), e.orders.accepted...)
}

func (e *Engine) servesModel(model string) bool {
	e.lock()
	defer e.engineMu.Unlock()
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	return model == "" || e.orders.anyModel || e.orders.models[model]
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order contract.Order
	if !readJSON(w, r, maxControlBytes, &order) {
		return
	}
	e.lock()
	e.engineMu.Unlock()
	reply, load := e.orders.apply(order, e.ChecksFencing)
	if load {
		go e.loadModel(order.Model)
	}
	writeJSON(w, reply)
}

// loadTimeout bounds the time to fetch a model from the weight store.
const loadTimeout = 10 * time.Minute

// loadModel loads a model. A crash of the engine cancels it.
func (e *Engine) loadModel(model string) {
	if !e.Weights.IsValid() {
		e.orders.finishLoad(model, true)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	_, _, crashed := e.currentFaults()
	go func() {
		select {
		case <-crashed:
			cancel()
		case <-ctx.Done():
		}
	}()
	e.orders.finishLoad(model, e.fetchWeights(ctx, model) == nil && !isClosed(crashed))
}

// fetchWeights downloads a model from the weight store and discards the body.
func (e *Engine) fetchWeights(ctx context.Context, model string) error {
	u := url.URL{Scheme: "http", Host: e.Weights.String(), Path: WeightsPath, RawQuery: url.Values{ModelParam: {model}}.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return err
	}
	client := e.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errs.New("weight store: %s", resp.Status)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
