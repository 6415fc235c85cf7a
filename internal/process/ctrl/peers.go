package ctrl

import (
	"context"
	"time"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// peerBacklog is how many messages wait for one peer; more are dropped,
	// which the replicated log makes good.
	peerBacklog       = 256
	peerRetryInterval = 100 * time.Millisecond
)

// PeersConfig makes Peers.
type PeersConfig struct {
	// Self is this process's VM.
	Self ident.VMName
	// Members are the control processes, this one too.
	Members []group.Member
	Link    *link.Client
	Clock   Clock
}

// Peers carries the messages of the replicated log to the other control
// processes, in a stream for each. It implements group.Transport.
type Peers struct {
	cfg    PeersConfig
	queues map[ident.VMName]chan []byte
}

// NewPeers returns the transport; Run starts it.
func NewPeers(cfg PeersConfig) *Peers {
	p := &Peers{cfg: cfg, queues: make(map[ident.VMName]chan []byte)}
	for _, member := range cfg.Members {
		if member.VM != cfg.Self {
			p.queues[member.VM] = make(chan []byte, peerBacklog)
		}
	}
	return p
}

// Send implements group.Transport.
func (p *Peers) Send(to group.MemberID, message []byte) {
	select {
	case p.queues[to.VM()] <- message:
	default:
	}
}

// Run carries messages until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	for _, member := range p.cfg.Members {
		if queue, ok := p.queues[member.VM]; ok {
			go p.carry(ctx, member.Address, queue)
		}
	}
	<-ctx.Done()
}

// carry keeps a stream to one peer and writes the queue to it.
func (p *Peers) carry(ctx context.Context, address string, queue <-chan []byte) {
	for ctx.Err() == nil {
		stream, err := p.cfg.Link.Open(ctx, address, &wire.Call{
			Body: &wire.Call_Peer{Peer: &wire.Peer{From: string(p.cfg.Self)}},
		})
		if err == nil {
			stop := context.AfterFunc(ctx, stream.Abort)
			p.write(ctx, stream, queue)
			stop()
			_ = stream.Close()
		}
		_ = p.cfg.Clock.Sleep(ctx, peerRetryInterval)
	}
}

func (p *Peers) write(ctx context.Context, stream *link.Stream, queue <-chan []byte) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-queue:
			if stream.Send(&wire.PeerMessage{Data: message}) != nil {
				return
			}
		}
	}
}
