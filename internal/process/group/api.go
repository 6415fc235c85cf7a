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

// MemberID names one data folder: the VM's name, a slash and a random part
// that is drawn when the folder is made. A contact identity, see UnresolvedID,
// has an empty random part.
type MemberID string

// UnresolvedID returns the identity under which a VM is reached whose random
// part is not known yet. Transports route it by its VM.
func UnresolvedID(vm ident.VMName) MemberID { return MemberID(string(vm) + "/") }

// VM returns the VM on which the member lives.
func (id MemberID) VM() ident.VMName {
	vm, _, _ := strings.Cut(string(id), "/")
	return ident.VMName(vm)
}

func newMemberID(vm ident.VMName, rng *rand.Rand) MemberID {
	return MemberID(fmt.Sprintf("%s/%016x", vm, rng.Uint64()))
}

// Member is one member of a group. Address is the IP address and port at
// which its VM takes messages. In Config.Bootstrap the ID may be empty.
type Member struct {
	ID      MemberID
	VM      ident.VMName
	Address string
}

// StateMachine is what the group replicates. Its methods are called from one
// goroutine. A change that may be proposed twice must be told apart by the
// machine itself.
type StateMachine interface {
	// Apply takes one committed entry and returns the proposer's result.
	Apply(index uint64, entry []byte) (result []byte)
	// Snapshot returns the whole state after the last applied entry.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state by that of a snapshot.
	Restore(snapshot []byte) error
}

// Transport sends encoded messages to members. It may drop, delay, double
// and reorder them, and never blocks. It routes by MemberID.VM.
type Transport interface {
	Send(to MemberID, message []byte)
}

// Clock gives the time and the ticks of the group.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Defaults of Config.
const (
	DefaultHeartbeatInterval = 60 * time.Millisecond
	DefaultElectionTimeout   = 300 * time.Millisecond
	DefaultSnapshotThreshold = 10_000
)

// Config sets up a member. VM, Folder, StateMachine and Clock are required, and
// Transport is for groups of more than one.
type Config struct {
	// VM is the name of the VM on which the member runs.
	VM ident.VMName
	// Folder is the data folder; it is made if it is missing.
	Folder string
	// Bootstrap lists the first voters of a fresh group, this VM among them;
	// it is empty on a VM that joins. It counts only for an empty folder.
	Bootstrap []Member
	// StateMachine is the state machine; it starts out empty at each Open.
	StateMachine StateMachine
	// Transport sends to the other members.
	Transport Transport
	// Clock is the time source.
	Clock Clock
	// Logger takes events; nil drops them.
	Logger log.Logger
	// HeartbeatInterval is the time between two heartbeats of the leader.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the shortest silence after which a voter stands.
	ElectionTimeout time.Duration
	// SnapshotThreshold is the number of applied entries between two snapshots.
	SnapshotThreshold uint64
	// Seed seeds election timeouts and the folder's random identity; at zero
	// the operating system's randomness is used.
	Seed uint64
	// OnViolation is called when an invariant is broken, with its name and what
	// was seen; nil counts and logs it.
	OnViolation func(invariant, detail string)
}

// MemberStatus is the leader's view of one member; Match is the last entry
// known to be synced there, zero on followers. Heard is when a leader last
// heard from the member, zero for itself and on followers.
type MemberStatus struct {
	Member
	Learner     bool
	Match       uint64
	LastContact time.Time
}

// Status is a member's view of its group. Newcomers are VMs that asked to
// join since this member was opened and that the member list does not hold.
type Status struct {
	ID        MemberID
	Role      raft.Role
	Term      uint64
	Leader    MemberID
	Commit    uint64
	Applied   uint64
	Members   []MemberStatus
	Newcomers []Member
	Failure   error
}
