// Command verdict passes the output of go test through and exits with 1 unless
// every failure in it is listed in KNOWN-RED.txt. A package that fails without a
// failed test of its own (a build fault, a panic, a timeout) is never passed
// over.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/knownred"
)

func main() {
	known, err := knownred.Names(knownred.File)
	if err == nil {
		err = judge(os.Stdin, os.Stdout, known)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "verdict:", err)
		os.Exit(1)
	}
}

const maxLine = 1 << 20

// judge copies go test output and returns an error if it holds a failure that is
// not known, or no test result at all.
func judge(in io.Reader, out io.Writer, known map[string]bool) error {
	r := newReader(known)
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		fmt.Fprintln(out, scanner.Text())
		r.line(scanner.Text())
	}
	if err := scanner.Err(); err != nil {
		return errors.WithStack(err)
	}
	for _, name := range r.passedOver {
		fmt.Fprintln(out, "KNOWN-RED", name)
	}
	return r.verdict()
}
