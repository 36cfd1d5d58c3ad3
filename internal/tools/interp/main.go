// Command interp prints the interpreter of an ELF program, which is the dynamic
// loader of a dynamically linked program. For a statically linked one it prints nothing.
package main

import (
	"bytes"
	"debug/elf"
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: interp PROGRAM")
		os.Exit(2)
	}
	f, err := elf.Open(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "interp:", err)
		os.Exit(1)
	}
	defer f.Close()
	for _, p := range f.Progs {
		if p.Type != elf.PT_INTERP {
			continue
		}
		name := make([]byte, p.Filesz)
		if _, err := p.ReadAt(name, 0); err != nil {
			fmt.Fprintln(os.Stderr, "interp:", err)
			os.Exit(1)
		}
		fmt.Println(string(bytes.TrimRight(name, "\x00")))
	}
}
