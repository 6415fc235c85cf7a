package group

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/go-kit/log"

	"cactusline.dev/cactusline/internal/process/raft"
	"cactusline.dev/cactusline/internal/version/ident"
)

// MemberID identifies a member by its data folder: the name of its VM, a slash
// and a random part that is drawn when the folder is created. The random part
// of an UnresolvedID is empty.
type MemberID string

// UnresolvedID returns the identity that addresses the member on a VM when its
// random part is not known yet. Transports route by the VM alone.
func UnresolvedID(vm ident.VMName) MemberID { return MemberID(string(vm) + "/") }

// VM returns the name of the VM on which the member runs.
func (id MemberID) VM() ident.VMName {
	vm, _, _ := strings.Cut(string(id), "/")
	return ident.VMName(vm)
}

func newMemberID(vm ident.VMName, rng *rand.Rand) MemberID {
	return MemberID(fmt.Sprintf("%s/%016x", vm, rng.Uint64()))
}

// Member describes one member of a group. Address is the IP address and port
// at which its VM receives messages. ID may be empty in Config.Bootstrap.
type Member struct {
	ID      MemberID
	VM      ident.VMName
	Address string
}

// StateMachine is the replicated state machine. Its methods are never called
// concurrently. An entry may be committed more than once if its proposer
// retries, so the state machine itself must detect duplicates.
type StateMachine interface {
	// Apply applies one committed entry and returns the result for its
	// proposer.
	Apply(index uint64, entry []byte) (result []byte)
	// Snapshot returns the whole state as of the last applied entry.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state with that of a snapshot.
	Restore(snapshot []byte) error
}

// Transport sends encoded messages to members. It routes by MemberID.VM, may
// drop, delay, duplicate and reorder messages, and never blocks.
type Transport interface {
	Send(to MemberID, message []byte)
}

// Clock is the time source of a group.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Default values of Config fields.
const (
	DefaultHeartbeatInterval = 60 * time.Millisecond
	DefaultElectionTimeout   = 300 * time.Millisecond
	DefaultSnapshotThreshold = 10_000 // entries
)

// Config configures a member. VM, Folder, StateMachine and Clock are required;
// Transport is needed by groups of more than one member.
type Config struct {
	// VM is the name of the VM on which the member runs.
	VM ident.VMName
	// Folder is the data folder; it is created if it does not exist.
	Folder string
	// Bootstrap lists the initial voters of a new group, including this VM; it
	// is empty on a VM that joins an existing group. It is ignored unless the
	// data folder is empty.
	Bootstrap []Member
	// StateMachine is the replicated state machine. It must be empty when Open
	// is called.
	StateMachine StateMachine
	// Transport sends messages to the other members.
	Transport Transport
	// Clock is the time source.
	Clock Clock
	// Logger receives log events; nil discards them.
	Logger log.Logger
	// HeartbeatInterval is the time between two heartbeats of the leader.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the shortest time without contact from a leader after
	// which a voter starts an election.
	ElectionTimeout time.Duration
	// SnapshotThreshold is the number of applied entries between two
	// snapshots.
	SnapshotThreshold uint64
	// Seed seeds the election timeouts and the random part of the member's
	// identity; 0 takes a seed from the operating system.
	Seed uint64
	// OnViolation is called when an invariant is broken, with the name of the
	// invariant and what was observed; nil counts and logs the violation.
	OnViolation func(invariant, detail string)
}

// MemberStatus is the leader's view of one member. Match is the index of the
// last entry that the member is known to have synced. LastContact is when the
// leader last heard from the member; it is zero for the leader itself. Both
// are zero on followers. DiskLost tells that the member's disk is known to be lost.
type MemberStatus struct {
	Member
	Learner     bool
	Match       uint64
	LastContact time.Time
	DiskLost    bool
}

// Status is a member's view of its group. Commit and Applied are the indexes
// of the last committed and the last applied entry. Leaving are the members that
// the newest member list no longer holds, but whose votes still count because that
// list has not committed as far as this member knows. Newcomers are the VMs that
// have asked to join since this member was opened and that are not in the
// member list. Failure is the error that stopped the member, or nil.
type Status struct {
	ID        MemberID
	Role      raft.Role
	Term      uint64
	Leader    MemberID
	Commit    uint64
	Applied   uint64
	Members   []MemberStatus
	Leaving   []MemberStatus
	Newcomers []Member
	Failure   error
}
