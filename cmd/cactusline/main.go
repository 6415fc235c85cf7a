// Command cactusline is a router fleet for returning chats: one program whose
// subcommands are the roles of the fleet and the operator's verbs.
package main

func main() {}
