// Package raftpb holds the protobuf forms of the replicated log: what its
// members send each other and what they keep on disk.
package raftpb

// Format is the version of the message and disk forms of this package.
const Format = 1
