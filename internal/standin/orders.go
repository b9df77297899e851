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

// maxOrders bounds the orders that an engine remembers.
const maxOrders = 4096

// TakenOrder is an order that an engine took. Stale says that the engine had
// seen a higher fencing number before, so that the order came from a sender
// whose lease had gone on to another.
type AcceptedOrder struct {
	Order contract.Order
	At    time.Time
	Stale bool
}

// orderState is what orders change in an engine.
type orderState struct {
	mu       sync.Mutex
	anyModel bool // serves every model
	models   map[string]bool
	// loading holds the models that are on their way from the weight store.
	loading      map[string]bool
	role         string
	highestFence int64
	accepted     []AcceptedOrder
}

// init returns to the state of a new process. What was taken is kept.
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

// take applies an order; load says that a model has to be fetched.
func (o *orderState) apply(order contract.Order, checks bool) (reply contract.OrderReply, load bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	stale := order.Fence < o.highestFence
	if stale && checks {
		return contract.OrderReply{Fence: o.highestFence, Reason: "the fencing number is old"}, false
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
		return contract.OrderReply{Fence: o.highestFence, Reason: "unknown kind of order"}, false
	}
	return contract.OrderReply{Taken: true, Fence: o.highestFence}, load
}

// loaded ends the loading of a model.
func (o *orderState) finishLoad(model string, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.loading, model)
	if ok {
		o.models[model] = true
	}
}

// Orders returns the orders that the engine took, in their order.
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

// loadTimeout bounds the time that a model takes from the weight store.
const loadTimeout = 10 * time.Minute

// load fetches a model; a crash of the engine ends it.
func (e *Engine) loadModel(model string) {
	if !e.Weights.IsValid() {
		e.orders.finishLoad(model, true)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	_, _, dead := e.currentFaults()
	go func() {
		select {
		case <-dead:
			cancel()
		case <-ctx.Done():
		}
	}()
	e.orders.finishLoad(model, e.fetchWeights(ctx, model) == nil && !isClosed(dead))
}

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
