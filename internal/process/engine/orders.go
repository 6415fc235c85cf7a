package engine

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"

	"cactusline.dev/cactusline/internal/version/ident"
)

// bodyLimit is the maximum size of the JSON of an order or a cache transfer, in
// bytes.
const bodyLimit = 16 << 20

// OrderKind is the kind of change that an order makes.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadModel   OrderKind = "LoadModel"
	OrderUnloadModel OrderKind = "UnloadModel"
	OrderLoadAdapter OrderKind = "LoadAdapter"
	OrderSetRole     OrderKind = "SetRole"
)

// Role is the stage of the work that an engine runs.
type Role string

// Roles of an engine.
const (
	RoleMixed   Role = "Mixed"
	RolePrefill Role = "Prefill"
	RoleDecode  Role = "Decode"
)

// Order is the request body of POST /orders.
type Order struct {
	Kind OrderKind
	// Fence is the fencing number. An engine with CheckFencing refuses a number
	// lower than the highest it has seen.
	Fence ident.Fence
	Model ident.ModelName `json:",omitempty"`
	// Version is the version of the model's weights.
	Version string `json:",omitempty"`
	Adapter string `json:",omitempty"`
	Role    Role   `json:",omitempty"`
}

// Deployment is the response to an order: the state of the engine.
type Deployment struct {
	Fence    ident.Fence
	Role     Role
	Models   []LoadedModel
	Adapters []string
}

// LoadedModel is a model that the engine serves.
type LoadedModel struct {
	Name    ident.ModelName
	Version string
}

// deploymentState is the state that orders change. models maps the loaded
// models to their versions. The engine's lock guards it.
type deploymentState struct {
	fence    ident.Fence
	role     Role
	models   map[ident.ModelName]string
	adapters map[string]bool
}

func newDeploymentState(models []ident.ModelName) deploymentState {
	d := deploymentState{
		role:     RoleMixed,
		models:   make(map[ident.ModelName]string),
		adapters: make(map[string]bool),
	}
	for _, name := range models {
		d.models[name] = ""
	}
	return d
}

func (d *deploymentState) apply(o Order) error {
	switch o.Kind {
	case OrderLoadModel:
		d.models[o.Model] = o.Version
	case OrderUnloadModel:
		delete(d.models, o.Model)
	case OrderLoadAdapter:
		d.adapters[o.Adapter] = true
	case OrderSetRole:
		d.role = o.Role
	default:
		return fmt.Errorf("unknown order %q", o.Kind)
	}
	d.fence = max(d.fence, o.Fence)
	return nil
}

func (d *deploymentState) snapshot() Deployment {
	out := Deployment{Fence: d.fence, Role: d.role}
	for _, name := range slices.Sorted(maps.Keys(d.models)) {
		out.Models = append(out.Models, LoadedModel{Name: name, Version: d.models[name]})
	}
	out.Adapters = slices.Sorted(maps.Keys(d.adapters))
	return out
}

func (e *Engine) serves(model ident.ModelName) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, loaded := e.deployed.models[model]
	return loaded
}

func (e *Engine) models() []ident.ModelName {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(maps.Keys(e.deployed.models))
}

// Deployment returns the models, adapters and role of the engine.
func (e *Engine) Deployment() Deployment {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.deployed.snapshot()
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyLimit)).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if err := e.cfg.Clock.Sleep(r.Context(), e.cfg.OrderLatency); err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.CheckFencing && order.Fence < e.deployed.fence {
		writeJSON(w, http.StatusConflict, Error{Message: "fencing number is lower than the highest seen", Fence: e.deployed.fence})
		return
	}
	if err := e.deployed.apply(order); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, e.deployed.snapshot())
}
