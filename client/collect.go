package client

import (
	"context"
	"fmt"
	"io"
)

func (c *Client) collectCommand() command {
	return command{
		name:  "collect",
		short: "Remove from the store what no kept Version refers to.",
		long:  "A chunk is removed when it has been unreferenced for 24 h; the first run only notes it. Run it once a day.",
		run: func(ctx context.Context, args []string) error {
			if err := checkArgs(args); err != nil {
				return err
			}
			a, err := c.newAcceptor()
			if err != nil {
				return err
			}
			ctx, cancel := c.withTimeout(ctx)
			defer cancel()
			res, err := a.Collect(ctx)
			if err != nil {
				return err
			}
			return c.print(res, func(w io.Writer) { _, _ = fmt.Fprintf(w, "%+v\n", res) })
		},
	}
}
