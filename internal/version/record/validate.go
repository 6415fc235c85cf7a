package record

import (
	"fmt"
	"net"
	"strings"
)

// maxNameLength is the maximum length of a record's name, in bytes.
const maxNameLength = 128

// checks collects the faults of one record.
type checks []Fault

// require adds a fault unless the condition holds.
func (c *checks) require(holds bool, field, format string, args ...any) {
	if !holds {
		*c = append(*c, Fault{Field: field, Problem: fmt.Sprintf(format, args...)})
	}
}

// name checks the name of the record.
func (c *checks) name(name string) {
	c.require(name != "", "Name", "is empty")
	c.require(len(name) <= maxNameLength, "Name", "is longer than %d bytes", maxNameLength)
	printable := !strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r == 0x7f || r == '\ufffd' })
	c.require(printable, "Name", "holds a space or a control character")
}

// duration checks that a duration is not negative.
func (c *checks) duration(field string, d Duration) {
	c.require(d.Duration >= 0, field, "is negative")
}

func (c *Customer) validate() []Fault {
	var out checks
	out.name(string(c.Name))
	out.require(len(c.Keys) > 0, "Keys", "is empty")
	seen := make(map[KeyHash]bool, len(c.Keys))
	for i, key := range c.Keys {
		out.require(!seen[key], fmt.Sprintf("Keys[%d]", i), "stands twice")
		seen[key] = true
	}
	out.require(c.Limits.InFlight >= 0, "Limits.InFlight", "is negative")
	out.require(c.Limits.RequestsPerSecond >= 0, "Limits.RequestsPerSecond", "is negative")
	out.require(c.Limits.TokensPerMinute >= 0, "Limits.TokensPerMinute", "is negative")
	out.require(c.Limits.Body >= 0, "Limits.Body", "is negative")
	return out
}

func (s *Service) validate() []Fault {
	var out checks
	out.name(string(s.Name))
	out.duration("Timeout", s.Timeout)
	for i, call := range s.NotRepeatable {
		method, path, found := strings.Cut(call, " ")
		wellFormed := found && method == strings.ToUpper(method) && strings.HasPrefix(path, "/")
		out.require(wellFormed, fmt.Sprintf("NotRepeatable[%d]", i), "%q is not METHOD /path", call)
	}
	return out
}

func (m *Model) validate() []Fault {
	var out checks
	out.name(string(m.Name))
	out.require(len(m.Versions) > 0, "Versions", "is empty")
	seen := make(map[string]bool, len(m.Versions))
	for i, version := range m.Versions {
		field := fmt.Sprintf("Versions[%d].Name", i)
		out.require(version.Name != "", field, "is empty")
		out.require(!seen[version.Name], field, "%q stands twice", version.Name)
		seen[version.Name] = true
	}
	return out
}

func (r *Route) validate() []Fault {
	var out checks
	out.name(r.Name)
	out.require((r.Model == "") != (r.Service == ""), "Model", "exactly one of Model and Service must be set")
	out.require(r.LoadBound == 0 || r.LoadBound >= 1, "LoadBound", "%g is below 1", r.LoadBound)
	out.require(r.Model != "" || r.ModelVersion == "", "ModelVersion", "needs a Model")
	out.require(r.Model != "" || r.Adapter == "", "Adapter", "needs a Model")
	out.duration("Timeout", r.Timeout)
	out.duration("FirstToken", r.FirstToken)
	return out
}

func (t *Target) validate() []Fault {
	var out checks
	out.name(string(t.Name))
	out.require(t.VM != "", "VM", "is empty")
	out.require(t.Domain != "", "Domain", "is empty")
	out.require(t.Region != "", "Region", "is empty")
	host, _, err := net.SplitHostPort(t.Address)
	out.require(err == nil && host != "", "Address", "%q is not host:port", t.Address)
	out.require((len(t.Models) == 0) != (t.Service == ""), "Models", "exactly one of Models and Service must be set")
	for i, model := range t.Models {
		out.require(model.Name != "", fmt.Sprintf("Models[%d].Name", i), "is empty")
	}
	switch t.Role {
	case "", RoleMixed, RolePrefill, RoleDecode:
	default:
		out.require(false, "Role", "%q is unknown", t.Role)
	}
	out.require(t.Role == "" || len(t.Models) > 0, "Role", "needs Models")
	out.require(t.Capacity.Requests >= 0, "Capacity.Requests", "is negative")
	out.require(t.Capacity.Tokens >= 0, "Capacity.Tokens", "is negative")
	out.require(t.Capacity.CacheTokens >= 0, "Capacity.CacheTokens", "is negative")
	return out
}

func (d *Departure) validate() []Fault {
	var out checks
	out.name(d.Name)
	out.require((d.Target == "") != (d.VM == ""), "Target", "exactly one of Target and VM must be set")
	out.require(d.Name == d.expectedName(), "Name", "must be %q", d.expectedName())
	return out
}

// expectedName returns the name that the departure must have, given its target
// or VM.
func (d *Departure) expectedName() string {
	if d.VM != "" {
		return "vm/" + string(d.VM)
	}
	return "target/" + string(d.Target)
}
