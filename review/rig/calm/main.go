// Command calm starts a whole system of the layout of derwent for the first time, with seeds
// that have no disk, disturbs nothing, and checks that no read of the config is older than
// what was acknowledged. It is no case, as it has no disruption.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"cactusline.dev/cactusline/review/rig"
)

const (
	// operatorStart is when the operator sends the first config.
	operatorStart = 12 * time.Second
	// changes is the number of versions, and changePause the time between two of them.
	changes     = 10
	changePause = time.Second
	// changesEnd bounds the time for all changes.
	changesEnd = 70 * time.Second
	// readFor is how long the operator reads back at the end.
	readFor   = rig.ContactTime
	readPause = 200 * time.Millisecond
)

func main() { rig.Run(os.Args[1], layout(), play) }

// layout returns the machines of four zones, each with two that have a disk and one that has
// none.
func layout() *rig.Fleet {
	f := new(rig.Fleet)
	for _, zone := range []string{"tas-burnie", "tas-devonport", "tas-hobart", "tas-launceston"} {
		for number := 1; number <= 3; number++ {
			f.Machines = append(f.Machines, &rig.Machine{Name: fmt.Sprintf("edge-%s-%d", zone, number), Zone: zone, Disk: number < 3})
		}
	}
	f.Seeds = []*rig.Machine{f.Machines[2], f.Machines[5], f.Machines[8]}
	return f
}

func play(f *rig.Fleet) ([]string, error) {
	for _, m := range f.Machines {
		if err := f.Start(m, true); err != nil {
			return nil, err
		}
	}
	time.Sleep(operatorStart - f.Record.Elapsed())
	newest, ackedAt, ok := change(f)
	if !ok {
		return []string{fmt.Sprintf("version %d was not acknowledged within %v", newest+1, changesEnd)}, nil
	}
	// An unstable core would stretch the bound by MaxStretch at most.
	time.Sleep(time.Until(ackedAt.Add(rig.ApplyTime + rig.MaxStretch)))
	return readBack(f, newest), nil
}

// change sends the versions one after the other, each to the next machines until one
// acknowledges it. It returns the newest and when it was acknowledged, and false if one was
// not.
func change(f *rig.Fleet) (newest int, ackedAt time.Time, ok bool) {
	next := 0
	for version := 1; version <= changes; version++ {
		for newest < version {
			if f.Record.Elapsed() > changesEnd {
				return newest, ackedAt, false
			}
			answer := f.Put(f.Machines[next%len(f.Machines)], version)
			if next++; answer.Status == http.StatusOK {
				newest, ackedAt = version, answer.At
			} else {
				time.Sleep(readPause)
			}
		}
		time.Sleep(changePause)
	}
	return newest, ackedAt, true
}

// readBack reads the config at all machines and returns the answers that are older than
// the newest acknowledged version.
func readBack(f *rig.Fleet, newest int) (broken []string) {
	older := make(map[*rig.Machine]bool)
	for began := time.Now(); time.Since(began) < readFor; time.Sleep(readPause) {
		for _, m := range f.Machines {
			answer := f.Get(m)
			if answer.Status == http.StatusOK && answer.Version < newest && !older[m] {
				older[m] = true
				broken = append(broken, fmt.Sprintf("%s answers a read with version %d, though %d was acknowledged", m.Name, answer.Version, newest))
			}
		}
	}
	return broken
}
