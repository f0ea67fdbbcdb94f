package client

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/marjoramcroft/marjoramcroft/accept"
	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/config"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/stats"
	"github.com/marjoramcroft/marjoramcroft/store"
)

// Client runs the commands of the operators.
type Client struct {
	stdout   io.Writer
	stderr   io.Writer
	settings Settings
	// newDriver returns the driver of the store; nil selects HTTP to the endpoint in the settings.
	newDriver  func() store.Driver
	httpClient *http.Client
}

// command describes one command: its help texts, its flags and the function that runs it.
type command struct {
	name  string
	usage string // names of the arguments
	short string
	long  string
	flags func(fs *flag.FlagSet)
	run   func(ctx context.Context, args []string) error
}

// Main runs the client with the arguments args and returns its exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	c := &Client{stdout: stdout, stderr: stderr, settings: DefaultSettings(), httpClient: &http.Client{}}
	err := c.run(ctx, args)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		_, _ = fmt.Fprintln(stderr, "marjoramcroft:", err)
	}
	return exitCode(err)
}

func (c *Client) commands() []command {
	return []command{
		c.uploadCommand(), c.setCommand(), c.deleteCommand(), c.restoreCommand(), c.exportCommand(), c.historyCommand(),
		c.statusCommand(), c.reportCommand(), c.accountCommand(), c.explainCommand(), c.tallyCommand(), c.keyCommand(), c.retireCommand(), c.collectCommand(),
		c.tryCommand(), c.loadCommand(), c.emulateCommand(),
	}
}

func (c *Client) run(ctx context.Context, args []string) error {
	root := &ffcli.Command{
		Name:       "marjoramcroft",
		ShortUsage: "marjoramcroft <command> [flags] [arguments]",
		LongHelp:   "Operates the agreement of a service mesh. Exit codes are listed in docs/client.md.",
		FlagSet:    flag.NewFlagSet("marjoramcroft", flag.ContinueOnError),
	}
	root.FlagSet.SetOutput(c.stderr)
	root.Exec = func(_ context.Context, args []string) error {
		if len(args) > 0 {
			return fmt.Errorf("%w: unknown command %q", errUsage, args[0])
		}
		_, _ = fmt.Fprintln(c.stderr, ffcli.DefaultUsageFunc(root))
		return fmt.Errorf("%w: a command is required", errUsage)
	}
	for _, cmd := range c.commands() {
		root.Subcommands = append(root.Subcommands, c.buildCommand(cmd, args))
	}
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	return root.Run(ctx)
}

// buildCommand converts cmd to an ffcli command and adds a flag for each setting.
func (c *Client) buildCommand(cmd command, args []string) *ffcli.Command {
	fs := flag.NewFlagSet("marjoramcroft "+cmd.name, flag.ContinueOnError)
	fs.SetOutput(c.stderr)
	if cmd.flags != nil {
		cmd.flags(fs)
	}
	loader := config.NewLoader(fs, &c.settings)
	return &ffcli.Command{
		Name:       cmd.name,
		ShortUsage: strings.TrimSpace("marjoramcroft " + cmd.name + " [flags] " + cmd.usage),
		ShortHelp:  cmd.short,
		LongHelp:   cmd.long,
		FlagSet:    fs,
		Options:    loader.Options(),
		Exec: func(ctx context.Context, rest []string) error {
			if err := loader.Report(args, c.settings.Check()); err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			return cmd.run(ctx, rest)
		},
	}
}

// newAcceptor returns an acceptor that reads and changes the agreement in the store.
func (c *Client) newAcceptor() (*accept.Acceptor, error) {
	client := store.New(store.Deps{
		Driver: c.storeDriver(), Config: store.DefaultConfig(), Stats: stats.New(), Log: event.Discard(), Rand: rand.Float64,
	})
	return accept.New(accept.Deps{
		Store: client.As(store.RoleOperator), Config: accept.DefaultConfig(),
		Stats: stats.New(), Log: event.Discard(), Rand: rand.Float64,
	})
}

// loadAccepted returns an acceptor, the head in the store and the agreement of that head.
func (c *Client) loadAccepted(ctx context.Context) (*accept.Acceptor, accept.Head, *agree.Agreement, error) {
	a, err := c.newAcceptor()
	if err != nil {
		return nil, accept.Head{}, nil, err
	}
	head, err := a.Head(ctx)
	if err != nil {
		return nil, head, nil, err
	}
	cur, err := a.Load(ctx, head)
	return a, head, cur, err
}

// storeDriver returns a new driver of the store.
func (c *Client) storeDriver() store.Driver {
	if c.newDriver != nil {
		return c.newDriver()
	}
	return store.NewHTTP(c.settings.Store.Endpoint, c.httpClient)
}

// withTimeout returns ctx bounded by the setting Timeout.
func (c *Client) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.settings.Timeout)
}

// print writes v as JSON if the setting JSON is on, otherwise the text that writeText produces.
func (c *Client) print(v any, writeText func(w io.Writer)) error {
	if !c.settings.JSON {
		writeText(c.stdout)
		return nil
	}
	enc := json.NewEncoder(c.stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

// checkArgs returns a usage error unless args holds one non-empty argument for each of names.
func checkArgs(args []string, names ...string) error {
	if len(args) != len(names) {
		return fmt.Errorf("%w: expected %d arguments (%s), got %d", errUsage, len(names), strings.Join(names, ", "), len(args))
	}
	if i := slices.Index(args, ""); i >= 0 {
		return fmt.Errorf("%w: argument %s is empty", errUsage, names[i])
	}
	return nil
}
