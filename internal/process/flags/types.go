package flags

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
)

// Address is an IP number and a port, such as 10.0.0.1:7000 or [::1]:7000.
type Address string

// Allowed describes the type.
func (Address) Allowed() string { return "an IP number and a port, such as 10.0.0.1:7000" }

// UnmarshalText checks and takes an address.
func (a *Address) UnmarshalText(text []byte) error {
	if _, err := netip.ParseAddrPort(string(text)); err != nil {
		return fmt.Errorf("parse address: %w", err)
	}
	*a = Address(text)
	return nil
}

// File is the path of a file that exists.
type File string

// Allowed describes the type.
func (File) Allowed() string { return "the path of a file that exists" }

// UnmarshalText checks and takes a path.
func (f *File) UnmarshalText(text []byte) error {
	info, err := os.Stat(string(text))
	if err != nil {
		return fmt.Errorf("find file: %w", err)
	}
	if info.IsDir() {
		return errors.New("is a folder")
	}
	*f = File(text)
	return nil
}

// Endpoint is a named address, such as c1=10.0.0.1:7000. A list of them is
// joined by commas.
type Endpoint struct {
	Name    string
	Address Address
}

// Allowed describes the type.
func (Endpoint) Allowed() string { return "NAME=ADDRESS, such as c1=10.0.0.1:7000" }

// UnmarshalText checks and takes an endpoint.
func (e *Endpoint) UnmarshalText(text []byte) error {
	name, address, found := strings.Cut(string(text), "=")
	if !found || name == "" {
		return errors.New("parse endpoint: no NAME=ADDRESS")
	}
	e.Name = name
	return e.Address.UnmarshalText([]byte(address))
}

// String returns the endpoint as it is written.
func (e Endpoint) String() string { return e.Name + "=" + string(e.Address) }
