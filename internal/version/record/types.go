package record

import (
	"cactusline.dev/cactusline/internal/version/ident"
)

// Kind is the type of thing that a record describes.
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

// Header holds the fields that records of all kinds have besides Name.
type Header struct {
	Kind Kind
	// SchemaVersion is the version of the JSON schema that the record uses.
	SchemaVersion int
	// Version counts the changes of the record; the first version is 1. In a
	// submitted record it is the version to amend, or 0 to create the record.
	Version ident.Version
}

// Customer describes the owner of a set of bearer keys.
type Customer struct {
	Header
	Name ident.CustomerName
	// Keys are the hashes of the bearer keys, as HashKey returns them.
	Keys []KeyHash
	// Weight is the customer's weight in fair admission, relative to other
	// customers; 0 means 1.
	Weight uint32 `json:",omitempty"`
	// Priority is passed to engines; higher values go first.
	Priority int32  `json:",omitempty"`
	Limits   Limits `json:",omitzero"`
}

// Limits bounds the usage of one customer; 0 means no limit.
type Limits struct {
	// InFlight is the maximum number of concurrent requests.
	InFlight int `json:",omitempty"`
	// RequestsPerSecond bounds the rate of requests.
	RequestsPerSecond float64 `json:",omitempty"`
	// TokensPerMinute bounds the rate of prompt and output tokens.
	TokensPerMinute ident.Tokens `json:",omitempty"`
	// Body is the maximum size of a request body.
	Body ident.Bytes `json:",omitempty"`
}

// Service describes a service other than a model engine.
type Service struct {
	Header
	Name ident.ServiceName
	// Pool names the set of targets over which load is balanced; empty means
	// the name of the service.
	Pool string `json:",omitempty"`
	// NotRepeatable lists the calls that may run at most once, as
	// "METHOD /path". A trailing "*" matches any rest of the path.
	NotRepeatable []string `json:",omitempty"`
	// Timeout bounds a call; 0 means the router's default.
	Timeout Duration `json:",omitzero"`
}

// Model describes a language model; its name is the one that callers use.
type Model struct {
	Header
	Name     ident.ModelName
	Versions []ModelVersion
}

// ModelVersion is one set of weights and the adapters that can be used with
// it.
type ModelVersion struct {
	Name string
	// Weights is the name of the weights in the weight store.
	Weights  string   `json:",omitempty"`
	Adapters []string `json:",omitempty"`
}

// Route says which targets may serve the requests of some customers for a
// model or service. A route that lists the customer takes precedence over one
// that lists none.
type Route struct {
	Header
	Name string
	// Customers lists the customers to whose requests the route applies; empty
	// means all.
	Customers []ident.CustomerName `json:",omitempty"`
	// Model is the requested model; empty in the route of a service.
	Model ident.ModelName `json:",omitempty"`
	// ModelVersion and Adapter are what a target must serve of the model;
	// empty means any.
	ModelVersion string `json:",omitempty"`
	Adapter      string `json:",omitempty"`
	// Service is the requested service; empty in the route of a model.
	Service ident.ServiceName `json:",omitempty"`
	// Region limits the targets to one region; empty means any.
	Region ident.RegionName `json:",omitempty"`
	// LoadBound is the maximum load of a target as a multiple of the mean load
	// of its pool; 0 means the default.
	LoadBound float64 `json:",omitempty"`
	// Timeout bounds a whole request; 0 means the router's default.
	Timeout Duration `json:",omitzero"`
	// FirstToken bounds the wait for the first token; 0 means no bound.
	FirstToken Duration `json:",omitzero"`
}

// Target describes one replica of a model or of a service.
type Target struct {
	Header
	Name   ident.TargetName
	VM     ident.VMName
	Domain ident.DomainName
	Region ident.RegionName
	// Address is the host:port of the target's sidecar.
	Address string
	// Models lists the models that an engine serves; empty for a replica of a
	// service.
	Models []TargetModel `json:",omitempty"`
	// Role is the role to give to an engine; empty leaves its role unchanged.
	Role EngineRole `json:",omitempty"`
	// Service is the service of a replica; empty for an engine.
	Service  ident.ServiceName `json:",omitempty"`
	Capacity Capacity          `json:",omitzero"`
	// ChecksFencing is true if the target itself rejects orders with an old
	// fencing token.
	ChecksFencing bool `json:",omitempty"`
	// Leaving is true if the target takes no new work.
	Leaving bool `json:",omitempty"`
}

// EngineRole says whether an engine does prefill, decode or both.
type EngineRole string

// The roles of engines.
const (
	RoleMixed   EngineRole = "Mixed"
	RolePrefill EngineRole = "Prefill"
	RoleDecode  EngineRole = "Decode"
)

// TargetModel is a model that an engine serves.
type TargetModel struct {
	Name ident.ModelName
	// Version is the model version. If it is empty, only routes without a
	// ModelVersion use the target.
	Version  string   `json:",omitempty"`
	Adapters []string `json:",omitempty"`
}

// Capacity is the maximum load that a target can hold at one time; 0 means
// unknown.
type Capacity struct {
	Requests    int          `json:",omitempty"`
	Tokens      ident.Tokens `json:",omitempty"`
	CacheTokens ident.Tokens `json:",omitempty"`
}

// Departure marks a target, or all targets of a VM, as leaving: they take no
// new work. Its name is "target/NAME" or "vm/NAME", depending on the field that
// is set.
type Departure struct {
	Header
	Name   string
	Target ident.TargetName `json:",omitempty"`
	VM     ident.VMName     `json:",omitempty"`
	Reason string           `json:",omitempty"`
}

// FairWeight returns the customer's weight in fair admission, at least 1.
func (c *Customer) FairWeight() uint32 {
	return max(c.Weight, 1)
}

// PoolName returns the name of the set of targets over which load is balanced.
func (s *Service) PoolName() string {
	if s.Pool == "" {
		return string(s.Name)
	}
	return s.Pool
}
