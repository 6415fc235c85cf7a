package place

import "time"

const (
	// workWeight is the weight of one request in the usual work of a service.
	workWeight = 0.1
	// reportedLoadAge is how long the load that a target reported in a response counts. The
	// sums of the loads that processes report are 150 to 300 ms old when they arrive, in
	// which a queue fills or empties, and each process hears of a target a few times a
	// second.
	reportedLoadAge = 400 * time.Millisecond
	// waitedPeriod is how long a target counts as one where requests wait after its last
	// report of that.
	waitedPeriod = time.Second
	// maxRemoteSilence is how long the last news of control counts. While there is load, it
	// changes several times a second.
	maxRemoteSilence = time.Second
)

// reportedLoad is the load that a target reported in a response to this process.
type reportedLoad struct {
	// requests are those that run and wait at the target.
	requests int
	// local is the number of requests that this process had in flight there then.
	local int
	at    time.Time
	// waitedAt is when the target last reported that requests wait.
	waitedAt time.Time
}

// expectedLoad returns the requests that run or wait at the target. That is the sum of what
// the processes have in flight there, unless requests have waited there lately by the
// target's own word: then it is what the target reported last, if that is recent, and what
// this process has sent since then.
func (t *Target) expectedLoad(now time.Time) int {
	if now.Sub(t.reported.waitedAt) > waitedPeriod || now.Sub(t.reported.at) > reportedLoadAge {
		return t.load()
	}
	return t.reportedNow()
}

// reportedNow returns what the target reported last and what this process has sent since.
func (t *Target) reportedNow() int {
	return max(t.inFlight, t.reported.requests+t.inFlight-t.reported.local)
}

// forecastLoad is expectedLoad for a decision to reject. While control is silent, the sums
// that it sent last may be those of a load that has ended.
func (t *Target) forecastLoad(now time.Time) int {
	if now.Sub(t.owner.remoteLoadsAt) > maxRemoteSilence && now.Sub(t.reported.at) <= reportedLoadAge {
		return t.reportedNow()
	}
	return t.expectedLoad(now)
}

// recordReport records the load that the target reported. The caller holds the lock of the
// service.
func (t *Target) recordReport(now time.Time, load ServerLoad) {
	t.reported.requests, t.reported.local, t.reported.at = load.Running+load.Waiting, t.inFlight, now
	if load.Waiting > 0 {
		t.reported.waitedAt = now
	}
}

// Forecast is when a request would begin at the target where that is soonest.
type Forecast struct {
	// Wait is the time until the request begins.
	Wait time.Duration
	// Work is how long a request of the service usually takes there.
	Work time.Duration
	// Age is how old the report of that target's load is, negative if there is none.
	Age time.Duration
}

// Forecast predicts how long a request without a prompt waits at a target. It returns
// false if that is not known: no target that may get it has reported its load, or none has
// run a request yet.
func (b *Balancer) Forecast(now time.Time, req *Request) (Forecast, bool) {
	s := b.service(req.Service)
	if s == nil || len(req.Parts) > 0 {
		return Forecast{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.usualWork <= 0 {
		return Forecast{}, false
	}
	var best Forecast
	found, reported := false, false
	for _, t := range s.permitted(now, s.candidates(now, req), req, req.Permit) {
		reported = reported || t.speed.slots > 0
		work := time.Duration(float64(s.usualWork) * t.speed.factor(now))
		queued := max(0, t.forecastLoad(now)+1-t.slots())
		wait := work * time.Duration(queued) / time.Duration(t.slots())
		if !found || wait+work < best.Wait+best.Work {
			best, found = Forecast{Wait: wait, Work: work, Age: now.Sub(t.reported.at)}, true
		}
	}
	return best, found && reported
}

// RecordWork records how long a target took for a request without a prompt, from the
// sending of the request to the end of the response. It must be called after
// RecordServerLoad. Requests that had to wait show nothing of the work, unless nothing is
// known: then the work is taken to be the part of the time that one place in the queue took.
func (b *Balancer) RecordWork(now time.Time, t *Target, took time.Duration) {
	s := t.owner
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.speed.slots <= 0 || now.Sub(t.reported.at) > reportedLoadAge {
		return
	}
	slots, sample := t.slots(), float64(took)/max(1, t.speed.factor(now))
	switch {
	case s.usualWork == 0:
		s.usualWork = time.Duration(sample * float64(slots) / float64(max(slots, t.reported.requests)))
	case t.reported.requests <= slots:
		s.usualWork += time.Duration(workWeight * (sample - float64(s.usualWork)))
	}
}
