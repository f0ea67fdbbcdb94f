package figure

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/peterbourgon/ff/v3"
)

// Exit codes of the command.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Main runs the command with the arguments args, which draws all plots, and returns its exit code.
func Main(args []string, stderr io.Writer) int {
	fs := flag.NewFlagSet("figure", flag.ContinueOnError)
	fs.SetOutput(stderr)
	dir := fs.String("dir", "docs/figures", "directory of the data files, to which the plots are written")
	switch err := ff.Parse(fs, args); {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil || fs.NArg() > 0:
		_, _ = fmt.Fprintln(stderr, "figure: flags only, see -help")
		return exitUsage
	}
	for _, p := range Plots() {
		svg, err := p.SVG(filepath.Join(*dir, p.Data))
		if err == nil {
			err = os.WriteFile(filepath.Join(*dir, p.Name+".svg"), svg, 0o644)
		}
		if err != nil {
			_, _ = fmt.Fprintln(stderr, "figure:", err)
			return exitFailed
		}
	}
	return exitOK
}
