package record

import (
	"fmt"
	"net"
	"strings"
)

// maxNameLength is the maximum length of a record's name, in bytes.
const maxNameLength = 128

// faultList collects the faults of one record.
type faultList []Fault

// addFaultUnless adds a fault unless ok is true.
func (c *faultList) addFaultUnless(ok bool, field, format string, args ...any) {
	if !ok {
		*c = append(*c, Fault{Field: field, Problem: fmt.Sprintf(format, args...)})
	}
}

// checkName checks the name of the record.
func (c *faultList) checkName(name string) {
	c.addFaultUnless(name != "", "Name", "is empty")
	c.addFaultUnless(len(name) <= maxNameLength, "Name", "is longer than %d bytes", maxNameLength)
	printable := !strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r == 0x7f || r == '\ufffd' })
	c.addFaultUnless(printable, "Name", "holds a space or a control character")
}

// checkDuration checks that a duration is not negative.
func (c *faultList) checkDuration(field string, d Duration) {
	c.addFaultUnless(d.Duration >= 0, field, "is negative")
}

func (c *Customer) validate() []Fault {
	var out faultList
	out.checkName(string(c.Name))
	out.addFaultUnless(len(c.Keys) > 0, "Keys", "is empty")
	seen := make(map[KeyHash]bool, len(c.Keys))
	for i, key := range c.Keys {
		out.addFaultUnless(!seen[key], fmt.Sprintf("Keys[%d]", i), "stands twice")
		seen[key] = true
	}
	out.addFaultUnless(c.Limits.InFlight >= 0, "Limits.InFlight", "is negative")
	out.addFaultUnless(c.Limits.RequestsPerSecond >= 0, "Limits.RequestsPerSecond", "is negative")
	out.addFaultUnless(c.Limits.TokensPerMinute >= 0, "Limits.TokensPerMinute", "is negative")
	out.addFaultUnless(c.Limits.Body >= 0, "Limits.Body", "is negative")
	return out
}

func (s *Service) validate() []Fault {
	var out faultList
	out.checkName(string(s.Name))
	out.checkDuration("Timeout", s.Timeout)
	for i, call := range s.NotRepeatable {
		method, path, found := strings.Cut(call, " ")
		wellFormed := found && method == strings.ToUpper(method) && strings.HasPrefix(path, "/")
		out.addFaultUnless(wellFormed, fmt.Sprintf("NotRepeatable[%d]", i), "%q is not METHOD /path", call)
	}
	return out
}

func (m *Model) validate() []Fault {
	var out faultList
	out.checkName(string(m.Name))
	out.addFaultUnless(len(m.Versions) > 0, "Versions", "is empty")
	seen := make(map[string]bool, len(m.Versions))
	for i, version := range m.Versions {
		field := fmt.Sprintf("Versions[%d].Name", i)
		out.addFaultUnless(version.Name != "", field, "is empty")
		out.addFaultUnless(!seen[version.Name], field, "%q stands twice", version.Name)
		seen[version.Name] = true
	}
	return out
}

func (r *Route) validate() []Fault {
	var out faultList
	out.checkName(r.Name)
	out.addFaultUnless((r.Model == "") != (r.Service == ""), "Model", "exactly one of Model and Service must be set")
	out.addFaultUnless(r.LoadBound == 0 || r.LoadBound >= 1, "LoadBound", "%g is below 1", r.LoadBound)
	out.addFaultUnless(r.Model != "" || r.ModelVersion == "", "ModelVersion", "needs a Model")
	out.addFaultUnless(r.Model != "" || r.Adapter == "", "Adapter", "needs a Model")
	out.checkDuration("Timeout", r.Timeout)
	out.checkDuration("FirstToken", r.FirstToken)
	return out
}

func (t *Target) validate() []Fault {
	var out faultList
	out.checkName(string(t.Name))
	out.addFaultUnless(t.VM != "", "VM", "is empty")
	out.addFaultUnless(t.Domain != "", "Domain", "is empty")
	out.addFaultUnless(t.Region != "", "Region", "is empty")
	host, _, err := net.SplitHostPort(t.Address)
	out.addFaultUnless(err == nil && host != "", "Address", "%q is not host:port", t.Address)
	out.addFaultUnless((len(t.Models) == 0) != (t.Service == ""), "Models", "exactly one of Models and Service must be set")
	for i, model := range t.Models {
		out.addFaultUnless(model.Name != "", fmt.Sprintf("Models[%d].Name", i), "is empty")
	}
	switch t.Role {
	case "", RoleMixed, RolePrefill, RoleDecode:
	default:
		out.addFaultUnless(false, "Role", "%q is unknown", t.Role)
	}
	out.addFaultUnless(t.Role == "" || len(t.Models) > 0, "Role", "needs Models")
	out.addFaultUnless(t.Capacity.Requests >= 0, "Capacity.Requests", "is negative")
	out.addFaultUnless(t.Capacity.Tokens >= 0, "Capacity.Tokens", "is negative")
	out.addFaultUnless(t.Capacity.CacheTokens >= 0, "Capacity.CacheTokens", "is negative")
	return out
}

func (d *Departure) validate() []Fault {
	var out faultList
	out.checkName(d.Name)
	out.addFaultUnless((d.Target == "") != (d.VM == ""), "Target", "exactly one of Target and VM must be set")
	out.addFaultUnless(d.Name == d.expectedName(), "Name", "must be %q", d.expectedName())
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
