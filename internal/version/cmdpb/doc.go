// Package cmdpb holds the generated messages of the replicated store: its
// commands, their results and its snapshot.
package cmdpb
