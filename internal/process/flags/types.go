package flags

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
)

// Address is an IP address and a port, such as 10.0.0.1:7000 or [::1]:7000.
type Address string

// Allowed describes the valid values.
func (Address) Allowed() string { return "an IP address and a port, such as 10.0.0.1:7000" }

// UnmarshalText implements encoding.TextUnmarshaler.
func (a *Address) UnmarshalText(text []byte) error {
	if _, err := netip.ParseAddrPort(string(text)); err != nil {
		return fmt.Errorf("parse address: %w", err)
	}
	*a = Address(text)
	return nil
}

// File is the path of a file that exists.
type File string

// Allowed describes the valid values.
func (File) Allowed() string { return "the path of a file that exists" }

// UnmarshalText implements encoding.TextUnmarshaler. It fails if the file does not
// exist.
func (f *File) UnmarshalText(text []byte) error {
	info, err := os.Stat(string(text))
	if err != nil {
		return fmt.Errorf("find file: %w", err)
	}
	if info.IsDir() {
		return errors.New("path is a directory")
	}
	*f = File(text)
	return nil
}

// Endpoint is a named address, such as c1=10.0.0.1:7000. Lists of endpoints are
// separated by commas.
type Endpoint struct {
	Name    string
	Address Address
}

// Allowed describes the valid values.
func (Endpoint) Allowed() string { return "NAME=ADDRESS, such as c1=10.0.0.1:7000" }

// UnmarshalText implements encoding.TextUnmarshaler.
func (e *Endpoint) UnmarshalText(text []byte) error {
	name, address, found := strings.Cut(string(text), "=")
	if !found || name == "" {
		return errors.New("parse endpoint: want NAME=ADDRESS")
	}
	e.Name = name
	return e.Address.UnmarshalText([]byte(address))
}

// String returns the endpoint as NAME=ADDRESS.
func (e Endpoint) String() string { return e.Name + "=" + string(e.Address) }
