package client

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
)

func (c *Client) retireCommand() command {
	return command{
		name: "retire", usage: "ADDRESS",
		short: "Free what is reserved for a VM that is gone for good.",
		long: "ADDRESS is the control address of its daemon. Its base shares and the homes of its idempotency keys go\n" +
			"to other daemons of its service. Never retire an address whose process may still run: caps could be\n" +
			"exceeded. The daemons of the setting Daemons must be of the same service.",
		run: func(ctx context.Context, args []string) error {
			if err := checkArgs(args, "ADDRESS"); err != nil {
				return err
			}
			ctx, cancel := c.withTimeout(ctx)
			defer cancel()
			err := c.firstDaemon(func(addr string) error {
				_, err := c.request(ctx, http.MethodPost, addr, "retire", url.Values{"addr": {args[0]}})
				return err
			})
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.stdout, "retired %s\n", args[0])
			return err
		},
	}
}
