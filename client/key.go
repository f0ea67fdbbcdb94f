package client

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"strings"
)

func (c *Client) keyCommand() command {
	var service string
	return command{
		name:  "key",
		short: "Issue an idempotency key that is bound to a daemon.",
		flags: func(fs *flag.FlagSet) { fs.StringVar(&service, "service", "", "service of the calls") },
		run: func(ctx context.Context, args []string) error {
			if err := checkArgs(args); err != nil {
				return err
			}
			if service == "" {
				return fmt.Errorf("%w: flag -service is required", errUsage)
			}
			ctx, cancel := c.withTimeout(ctx)
			defer cancel()
			var body []byte
			err := c.firstDaemon(func(addr string) error {
				var err error
				body, err = c.request(ctx, http.MethodPost, addr, "key", url.Values{"service": {service}})
				return err
			})
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(c.stdout, strings.TrimSpace(string(body)))
			return err
		},
	}
}
