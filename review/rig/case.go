package rig

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// Trouble reports whether the case plays its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// SmallFleet returns the machines that take requests in a small deployment, three of them
// with a disk, whose settings name three without one.
func SmallFleet() *Fleet {
	a1 := &Machine{Name: "edge-fi-south-a-1", Zone: "fi-south-a", Disk: true}
	a2 := &Machine{Name: "edge-fi-south-a-2", Zone: "fi-south-a"}
	a3 := &Machine{Name: "edge-fi-south-a-3", Zone: "fi-south-a"}
	b1 := &Machine{Name: "edge-fi-south-b-1", Zone: "fi-south-b", Disk: true}
	b2 := &Machine{Name: "edge-fi-south-b-2", Zone: "fi-south-b"}
	c1 := &Machine{Name: "edge-fi-south-c-1", Zone: "fi-south-c", Disk: true}
	c2 := &Machine{Name: "edge-fi-south-c-2", Zone: "fi-south-c"}
	return &Fleet{Machines: []*Machine{a1, a2, a3, b1, b2, c1, c2}, Seeds: []*Machine{a2, b2, c2}}
}

// Machine returns the machine of a name.
func (f *Fleet) Machine(name string) *Machine {
	for _, m := range f.Machines {
		if m.Name == name {
			return m
		}
	}
	panic("no machine " + name)
}

// Run runs a case on a fleet, prints its outcome and ends the process with its exit code. The
// folder is that of the record. The case returns what breaks the rule, or an error if it
// couldn't run.
func Run(folder string, f *Fleet, play func(f *Fleet) (broken []string, err error)) {
	code := exitHeld
	broken, err := runFleet(folder, f, play)
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		code = exitNoRun
	case len(broken) > 0:
		for _, line := range broken {
			fmt.Println("broken:", line)
		}
		code = exitBroken
	default:
		fmt.Println("the rule held")
	}
	os.Exit(code)
}

func runFleet(folder string, f *Fleet, play func(f *Fleet) ([]string, error)) (broken []string, err error) {
	record, err := NewRecord(folder)
	if err != nil {
		return nil, err
	}
	defer func() { _ = record.Close() }()
	platform := NewPlatform(record)
	defer platform.Close()
	f.Record, f.Catalog = record, platform.Address()
	if err := f.Open(); err != nil {
		return nil, err
	}
	defer f.Close()
	broken, err = play(f)
	for _, line := range broken {
		record.Addf("broken: %s", line)
	}
	return broken, err
}
