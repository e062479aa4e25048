// Command rosemaryhill is a placeholder until its subcommands exist.
package main

func main() {}
