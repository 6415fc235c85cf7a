// Command 7 kills the machine without a disk that the settings name first, while a whole
// system starts for the first time, and checks that the first config is acknowledged.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"cactusline.dev/cactusline/review/rig"
)

const (
	// killedAt is when the machine is killed, and downFor how long it is down.
	killedAt = 400 * time.Millisecond
	downFor  = 3500 * time.Millisecond
	// trafficStart is when callers send their first requests.
	trafficStart = 10 * time.Second
	// end is when the case ends. The core has been stable for far longer than AckTime then.
	end   = 45 * time.Second
	pause = 200 * time.Millisecond
)

func main() { rig.Run(os.Args[1], play) }

func play(f *rig.Fleet) ([]string, error) {
	for _, m := range f.Machines {
		if err := f.Start(m, true); err != nil {
			return nil, err
		}
	}
	if rig.Trouble() {
		if err := killFirstSeed(f); err != nil {
			return nil, err
		}
	}
	acked, served, asked := false, 0, 0
	for n := 0; f.Record.Elapsed() < end; n++ {
		m := f.Machines[n%len(f.Machines)]
		if !acked {
			acked = f.Put(m, 1).Status == http.StatusOK
		}
		if f.Record.Elapsed() > trafficStart {
			asked++
			if f.Ask(m, "/all/", fmt.Sprintf("%016x", n)) == http.StatusOK {
				served++
			}
		}
		time.Sleep(pause)
	}
	f.Record.Addf("%d of %d requests of callers were served", served, asked)
	if acked {
		return nil, nil
	}
	stable := end - killedAt - downFor - rig.ContactTime
	return []string{fmt.Sprintf("the first config has no ack after %v with a stable core; %d of %d requests were served", stable, served, asked)}, nil
}

// killFirstSeed kills the machine and starts it again. The whole system does not start for
// the first time then, so its settings say so. With GONE=1 it does not come back.
func killFirstSeed(f *rig.Fleet) error {
	seed := f.Seeds[0]
	time.Sleep(killedAt - f.Record.Elapsed())
	f.Kill(seed)
	if os.Getenv("GONE") == "1" {
		return nil
	}
	time.Sleep(killedAt + downFor - f.Record.Elapsed())
	return f.Start(seed, false)
}
