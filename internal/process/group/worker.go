package group

import (
	"fmt"
	"time"

	"cactusline.dev/cactusline/internal/process/raft"
	"cactusline.dev/cactusline/internal/process/raftpb"
	"cactusline.dev/cactusline/internal/process/walog"
)

// writeJob is one job of writeLoop: a Ready to persist, which may hold a
// snapshot from the leader, or a snapshot taken of the local state machine.
// takenSnapshot is nil if the job is a Ready.
type writeJob struct {
	ready         raft.Ready
	takenSnapshot *raftpb.Snapshot
}

// applyJob is one job of applyLoop: an entry to apply, or a snapshot to
// restore.
type applyJob struct {
	entry    *raftpb.Entry
	snapshot *raftpb.Snapshot
}

// writeLoop persists queued writes. All writes that are queued at the same
// time share one sync.
func (g *Group) writeLoop() {
	defer g.workers.Done()
	for {
		jobs, ok := g.writeQueue.takeAll()
		if !ok {
			return
		}
		if err := g.writeJobs(jobs); err != nil {
			g.fail(err)
			return
		}
	}
}

// writeJobs appends all queued writes to the log at once, and then saves the
// queued snapshots and compacts the log.
func (g *Group) writeJobs(jobs []writeJob) error {
	var batches []walog.Batch
	for _, job := range jobs {
		if job.takenSnapshot == nil && job.ready.HasWrites() {
			batches = append(batches, walog.Batch{
				Snapshot:  job.ready.Snapshot,
				HardState: job.ready.HardState,
				Entries:   job.ready.Entries,
			})
		}
	}
	if len(batches) > 0 {
		if err := g.wal.Append(batches...); err != nil {
			return fmt.Errorf("append to log: %w", err)
		}
	}
	g.finishWrites(jobs)
	for _, job := range jobs {
		if job.takenSnapshot == nil {
			continue
		}
		if err := g.wal.SaveSnapshot(job.takenSnapshot); err != nil {
			return fmt.Errorf("save snapshot: %w", err)
		}
		// Half a snapshot interval of entries stays for members that lag behind.
		_ = g.withNode(func(time.Time) { g.node.Compact(job.takenSnapshot, g.cfg.SnapshotThreshold/2) })
	}
	return nil
}

// finishWrites reports persisted writes to the raft core and sends the
// messages that had to wait for the sync.
func (g *Group) finishWrites(jobs []writeJob) {
	_ = g.withNode(func(now time.Time) {
		for _, job := range jobs {
			if job.takenSnapshot != nil {
				continue
			}
			if job.ready.Snapshot != nil {
				g.applyQueue.push(applyJob{snapshot: job.ready.Snapshot})
			}
			g.node.Persisted(now, job.ready.Seq)
		}
	})
	for _, job := range jobs {
		g.send(job.ready.MessagesAfterSync)
	}
}

// applyLoop applies queued entries and snapshots, and takes a snapshot after
// every SnapshotThreshold entries. snapshotIndex is the index of the snapshot
// from which the member started.
func (g *Group) applyLoop(snapshotIndex uint64) {
	defer g.workers.Done()
	lastSnapshot := snapshotIndex
	for {
		jobs, ok := g.applyQueue.takeAll()
		if !ok {
			return
		}
		for _, job := range jobs {
			if job.snapshot != nil {
				if err := g.restoreSnapshot(job.snapshot); err != nil {
					g.fail(err)
					return
				}
				lastSnapshot = job.snapshot.GetIndex()
				continue
			}
			g.applyEntry(job.entry)
			if job.entry.GetIndex() < lastSnapshot+g.cfg.SnapshotThreshold {
				continue
			}
			lastSnapshot = job.entry.GetIndex()
			if err := g.takeSnapshot(lastSnapshot); err != nil {
				g.fail(err)
				return
			}
		}
	}
}

func (g *Group) restoreSnapshot(snapshot *raftpb.Snapshot) error {
	// A bootstrap snapshot holds no state of the state machine.
	if snapshot.GetIndex() > bootstrapIndex {
		if err := g.cfg.StateMachine.Restore(snapshot.GetData()); err != nil {
			return fmt.Errorf("restore snapshot: %w", err)
		}
	}
	g.lastApplied.set(snapshot.GetIndex())
	return nil
}

// applyEntry applies an entry and completes the proposal that waits for it.
func (g *Group) applyEntry(entry *raftpb.Entry) {
	var result []byte
	if entry.GetKind() == raftpb.EntryKind_ENTRY_DATA {
		result = g.cfg.StateMachine.Apply(entry.GetIndex(), entry.GetData())
	}
	if previous := g.lastApplied.get(); entry.GetIndex() != previous+1 {
		g.cfg.OnViolation("applied in order", fmt.Sprintf("entry %d after %d", entry.GetIndex(), previous))
	}
	g.lastApplied.set(entry.GetIndex())
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.pendingProposals[entry.GetIndex()]
	if !ok {
		return
	}
	delete(g.pendingProposals, entry.GetIndex())
	if p.term != entry.GetTerm() {
		// Another leader's entry was committed at this index.
		p.done <- outcome{err: g.notLeaderError()}
		return
	}
	p.done <- outcome{result: result}
}

// takeSnapshot takes a snapshot of the state machine and queues it for
// writing.
func (g *Group) takeSnapshot(index uint64) error {
	data, err := g.cfg.StateMachine.Snapshot()
	if err != nil {
		return fmt.Errorf("take snapshot: %w", err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	header, ok := g.node.SnapshotHeader(index)
	if !ok {
		return nil // the log no longer holds the entry at index
	}
	header.Data = data
	g.writeQueue.push(writeJob{takenSnapshot: header})
	return nil
}
