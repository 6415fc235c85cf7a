package record

import (
	"cactusline.dev/cactusline/internal/version/ident"
)

// Kind names what a record describes.
type Kind string

// The kinds of records.
const (
	KindCustomer  Kind = "Customer"
	KindService   Kind = "Service"
	KindModel     Kind = "Model"
	KindRoute     Kind = "Route"
	KindTarget    Kind = "Target"
	KindDeparture Kind = "Departure"
)

// Header opens every record.
type Header struct {
	// Kind says which type the record has.
	Kind Kind
	// SchemaVersion says in which form the record is written.
	SchemaVersion int
	// Version counts the record's changes, 1 for the first. In a submitted
	// record it is the version that is amended, 0 to create.
	Version ident.Version
}

// Customer describes the party that owns a set of bearer keys.
type Customer struct {
	Header
	Name ident.CustomerName
	// Keys are the hashes of the bearer keys, as HashKey returns them.
	Keys []KeyHash
	// Weight is the share in fair admission relative to other customers; 0
	// means 1.
	Weight uint32 `json:",omitempty"`
	// Priority is passed on to engines; higher goes first.
	Priority int32  `json:",omitempty"`
	Limits   Limits `json:",omitzero"`
}

// Limits bound what one customer may use; 0 means no limit.
type Limits struct {
	// InFlight is the number of requests at one time.
	InFlight int `json:",omitempty"`
	// RequestsPerSecond bounds the rate of requests.
	RequestsPerSecond float64 `json:",omitempty"`
	// TokensPerMinute bounds the rate of prompt and output tokens.
	TokensPerMinute ident.Tokens `json:",omitempty"`
	// Body is the size of one request body.
	Body ident.Bytes `json:",omitempty"`
}

// Service describes a plain service, which runs beside the model engines.
type Service struct {
	Header
	Name ident.ServiceName
	// Pool names the set of targets that load is balanced over; empty means
	// the service's own name.
	Pool string `json:",omitempty"`
	// NotRepeatable lists the calls that run at most once, as "METHOD /path"
	// with an optional trailing "*".
	NotRepeatable []string `json:",omitempty"`
	// Timeout bounds a call; 0 means the router's default.
	Timeout Duration `json:",omitzero"`
}

// Model describes a language model as callers name it.
type Model struct {
	Header
	Name     ident.ModelName
	Versions []ModelVersion
}

// ModelVersion is one set of weights with the adapters that fit it.
type ModelVersion struct {
	Name string
	// Weights names the entry of the weight store.
	Weights  string   `json:",omitempty"`
	Adapters []string `json:",omitempty"`
}

// Route says where the requests of some customers for a model or service go.
// A route that names its customers goes before one that names none.
type Route struct {
	Header
	Name string
	// Customers lists whose requests the route takes; empty means everyone's.
	Customers []ident.CustomerName `json:",omitempty"`
	// Model is the model that callers ask for; empty for a service's route.
	Model ident.ModelName `json:",omitempty"`
	// ModelVersion and Adapter choose what the model's engines run; an empty
	// version means any.
	ModelVersion string `json:",omitempty"`
	Adapter      string `json:",omitempty"`
	// Service is the service that callers ask for; empty for a model's route.
	Service ident.ServiceName `json:",omitempty"`
	// Region limits the targets to one region; empty means any.
	Region ident.RegionName `json:",omitempty"`
	// LoadBound is the highest load of a target as a multiple of its pool's
	// mean; 0 means the default.
	LoadBound float64 `json:",omitempty"`
	// Timeout bounds a whole request; 0 means the router's default.
	Timeout Duration `json:",omitzero"`
	// FirstToken bounds the wait for the first token; 0 means no bound.
	FirstToken Duration `json:",omitzero"`
}

// Target describes one model replica or one replica of a service.
type Target struct {
	Header
	Name   ident.TargetName
	VM     ident.VMName
	Domain ident.DomainName
	Region ident.RegionName
	// Address is the sidecar's, as host:port.
	Address string
	// Models lists what an engine serves; empty for a service's replica.
	Models []TargetModel `json:",omitempty"`
	// Role is the part of the work that an engine takes; empty leaves it as
	// it is.
	Role EngineRole `json:",omitempty"`
	// Service is the service of a replica; empty for an engine.
	Service  ident.ServiceName `json:",omitempty"`
	Capacity Capacity          `json:",omitzero"`
	// ChecksFencing says that the target itself refuses orders with an old
	// fence.
	ChecksFencing bool `json:",omitempty"`
	// Leaving says that the target takes no new work.
	Leaving bool `json:",omitempty"`
}

// EngineRole is the part of the work that an engine takes.
type EngineRole string

// The roles of engines.
const (
	RoleMixed   EngineRole = "Mixed"
	RolePrefill EngineRole = "Prefill"
	RoleDecode  EngineRole = "Decode"
)

// TargetModel is one model as an engine serves it.
type TargetModel struct {
	Name ident.ModelName
	// Version names the model version; if it is empty, only routes that name
	// no version lead here.
	Version  string   `json:",omitempty"`
	Adapters []string `json:",omitempty"`
}

// Capacity is what a target can hold at one time; 0 means unknown.
type Capacity struct {
	Requests    int          `json:",omitempty"`
	Tokens      ident.Tokens `json:",omitempty"`
	CacheTokens ident.Tokens `json:",omitempty"`
}

// Departure plans that a target, or every target of a VM, takes no new work.
// Its name is "target/NAME" or "vm/NAME", after the field that is set.
type Departure struct {
	Header
	Name   string
	Target ident.TargetName `json:",omitempty"`
	VM     ident.VMName     `json:",omitempty"`
	Reason string           `json:",omitempty"`
}

// FairWeight returns the customer's weight, at least 1.
func (c *Customer) FairWeight() uint32 {
	return max(c.Weight, 1)
}

// PoolName returns the name of the set of targets that load is balanced over.
func (s *Service) PoolName() string {
	if s.Pool == "" {
		return string(s.Name)
	}
	return s.Pool
}
