package client

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/sheet"
)

func (c *Client) exportCommand() command {
	var version uint64
	return command{
		name:  "export",
		short: "Write the accepted agreement as a sheet.",
		long:  "The sheet begins with a #Base row, so that a later upload of it finds corrections made since.",
		flags: func(fs *flag.FlagSet) {
			fs.Uint64Var(&version, "version", 0, "Version to export; 0: the accepted one")
		},
		run: func(ctx context.Context, args []string) error {
			if err := checkArgs(args); err != nil {
				return err
			}
			return c.export(ctx, ident.Version(version))
		},
	}
}

func (c *Client) export(ctx context.Context, v ident.Version) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	a, _, ag, err := c.loadAccepted(ctx)
	if err != nil {
		return err
	}
	if v > 0 {
		head, err := a.At(ctx, v)
		if err != nil {
			return err
		}
		if ag, err = a.Load(ctx, head); err != nil {
			return err
		}
	}
	if c.settings.JSON {
		return c.print(ag.Rows(), func(io.Writer) {})
	}
	if err := sheet.Write(c.stdout, ag); err != nil {
		return fmt.Errorf("export: %w", err)
	}
	return nil
}
