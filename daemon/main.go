package daemon

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	stdlog "log"
	"net/http"

	"github.com/marjoramcroft/marjoramcroft/config"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/stats"
	"github.com/marjoramcroft/marjoramcroft/store"
)

// Exit codes of marjoramcroftd.
const (
	exitOK      = 0
	exitFailed  = 1
	exitInvalid = 2 // invalid arguments or settings
)

// Main runs marjoramcroftd with the arguments args and returns its exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	settings := DefaultSettings()
	fs := flag.NewFlagSet("marjoramcroftd", flag.ContinueOnError)
	fs.SetOutput(stderr)
	check := fs.Bool("check", false, "check the settings and exit")
	if err := config.Load(fs, args, &settings, settings.Check); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		_, _ = fmt.Fprintln(stderr, err)
		return exitInvalid
	}
	if *check {
		_, _ = fmt.Fprintln(stdout, "settings are valid")
		return exitOK
	}
	limitMemory(settings.VM.MemoryMB)
	out := event.NewDroppingWriter(stderr) // calls must not wait for the reader of the log
	defer out.Close()
	defer stdlog.SetOutput(stdlog.Writer())
	stdlog.SetOutput(out) // used by net/http and wire.RetryAccept
	log := event.New(out, settings.Log.Level)
	d, err := New(Deps{
		Settings: settings, Driver: store.NewHTTP(settings.Store.Endpoint, &http.Client{}), Log: log, Stats: stats.New(),
	})
	if err != nil {
		log.Emit(event.DaemonFailed, "Error", err)
		return exitFailed
	}
	if err := d.Run(ctx); err != nil {
		return exitFailed
	}
	return exitOK
}
