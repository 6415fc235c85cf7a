package group

import (
	"fmt"
	"time"

	"cactusline.dev/cactusline/internal/process/raft"
	"cactusline.dev/cactusline/internal/process/raftpb"
	"cactusline.dev/cactusline/internal/process/walog"
)

// write is one job of the writing goroutine: a Ready or a snapshot of the
// machine.
type write struct {
	ready    raft.Ready
	snapshot *raftpb.Snapshot
}

// apply is one job of the applying goroutine: an entry or a snapshot to
// restore.
type apply struct {
	entry    *raftpb.Entry
	snapshot *raftpb.Snapshot
}

// writeAll makes all that has gathered durable with one sync.
func (g *Group) writeAll() {
	defer g.work.Done()
	for {
		jobs, ok := g.writes.takeAll()
		if !ok {
			return
		}
		if err := g.writeJobs(jobs); err != nil {
			g.fail(err)
			return
		}
	}
}

func (g *Group) writeJobs(jobs []write) error {
	var batches []walog.Batch
	for _, job := range jobs {
		if job.snapshot == nil && job.ready.HasWrites() {
			batches = append(batches, walog.Batch{
				Snapshot:  job.ready.Snapshot,
				HardState: job.ready.HardState,
				Entries:   job.ready.Entries,
			})
		}
	}
	if len(batches) > 0 {
		if err := g.disk.Append(batches...); err != nil {
			return fmt.Errorf("append to log: %w", err)
		}
	}
	g.release(jobs)
	for _, job := range jobs {
		if job.snapshot == nil {
			continue
		}
		if err := g.disk.SaveSnapshot(job.snapshot); err != nil {
			return fmt.Errorf("save snapshot: %w", err)
		}
		_ = g.do(func(time.Time) { g.node.Compact(job.snapshot, g.cfg.SnapshotThreshold/2) })
	}
	return nil
}

// release sends what waited for the sync and tells the core of it.
func (g *Group) release(jobs []write) {
	_ = g.do(func(now time.Time) {
		for _, job := range jobs {
			if job.snapshot != nil {
				continue
			}
			if job.ready.Snapshot != nil {
				g.applies.push(apply{snapshot: job.ready.Snapshot})
			}
			g.node.Persisted(now, job.ready.Seq)
		}
	})
	for _, job := range jobs {
		g.send(job.ready.MessagesAfterSync)
	}
}

func (g *Group) applyAll(from uint64) {
	defer g.work.Done()
	saved := from
	for {
		jobs, ok := g.applies.takeAll()
		if !ok {
			return
		}
		for _, job := range jobs {
			if job.snapshot != nil {
				if err := g.restore(job.snapshot); err != nil {
					g.fail(err)
					return
				}
				saved = job.snapshot.GetIndex()
				continue
			}
			g.applyEntry(job.entry)
			if job.entry.GetIndex() < saved+g.cfg.SnapshotThreshold {
				continue
			}
			saved = job.entry.GetIndex()
			if err := g.snapshot(saved); err != nil {
				g.fail(err)
				return
			}
		}
	}
}

func (g *Group) restore(snapshot *raftpb.Snapshot) error {
	if snapshot.GetIndex() > baseIndex {
		if err := g.cfg.StateMachine.Restore(snapshot.GetData()); err != nil {
			return fmt.Errorf("restore snapshot: %w", err)
		}
	}
	g.applied.set(snapshot.GetIndex())
	return nil
}

func (g *Group) applyEntry(entry *raftpb.Entry) {
	var result []byte
	if entry.GetKind() == raftpb.EntryKind_ENTRY_DATA {
		result = g.cfg.StateMachine.Apply(entry.GetIndex(), entry.GetData())
	}
	if before := g.applied.get(); entry.GetIndex() != before+1 {
		g.cfg.OnViolation("applied in order", fmt.Sprintf("entry %d after %d", entry.GetIndex(), before))
	}
	g.applied.set(entry.GetIndex())
	g.mu.Lock()
	defer g.mu.Unlock()
	waiting, ok := g.proposals[entry.GetIndex()]
	if !ok {
		return
	}
	delete(g.proposals, entry.GetIndex())
	if waiting.term != entry.GetTerm() {
		waiting.done <- outcome{err: g.notLeader()}
		return
	}
	waiting.done <- outcome{result: result}
}

// snapshot takes the machine's state and has it written.
func (g *Group) snapshot(index uint64) error {
	data, err := g.cfg.StateMachine.Snapshot()
	if err != nil {
		return fmt.Errorf("take snapshot: %w", err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	point, ok := g.node.SnapshotHeader(index)
	if !ok {
		return nil
	}
	point.Data = data
	g.writes.push(write{snapshot: point})
	return nil
}
