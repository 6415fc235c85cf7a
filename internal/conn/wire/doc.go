// Package wire holds the frames between the system's own processes, as
// generated from wire.proto.
//
// Each yamux stream carries one Call and then the answers to it. To generate
// the code anew, run scripts/generate.
package wire

// Protocol is the version of the frames that this program writes. It reads
// this one and the one before.
const Protocol = 1
