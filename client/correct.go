package client

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/marjoramcroft/marjoramcroft/accept"
	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/sheet"
)

func (c *Client) setCommand() command {
	var id string
	return command{
		name: "set", usage: "KIND FIELD=VALUE ...",
		short: "Add or change one row: a correction.",
		long: "KIND is member, service, cap or route; the fields are the columns of the sheet. Fields of an\n" +
			"existing row that are not given keep their values.\n" +
			"Example: marjoramcroft set cap Member=office Service=bookings Units=12",
		flags: func(fs *flag.FlagSet) { idFlag(fs, &id, "a correction") },
		run: func(ctx context.Context, args []string) error {
			if len(args) < 2 {
				return fmt.Errorf("%w: expected KIND and at least one FIELD=VALUE", errUsage)
			}
			return c.proposeCorrection(ctx, id, func(cur *agree.Agreement) (agree.Change, error) {
				r, err := editRow(cur, agree.Kind(args[0]), args[1:])
				return agree.Change{Put: []agree.Row{r}}, err
			})
		},
	}
}

func (c *Client) deleteCommand() command {
	var id string
	return command{
		name: "delete", usage: "KEY ...",
		short: "Delete rows: a correction.",
		long:  "KEY is member/ID, service/ID, cap/MEMBER/SERVICE or route/ID, as export and upload -dry-run show them.",
		flags: func(fs *flag.FlagSet) { idFlag(fs, &id, "a correction") },
		run: func(ctx context.Context, args []string) error {
			if len(args) == 0 {
				return fmt.Errorf("%w: expected at least one KEY", errUsage)
			}
			return c.proposeCorrection(ctx, id, func(cur *agree.Agreement) (agree.Change, error) {
				var ch agree.Change
				for _, k := range args {
					if _, ok := cur.Row(agree.Key(k)); !ok {
						return ch, fmt.Errorf("%w: Version %d has no row %s", errUsage, cur.Version(), k)
					}
					ch.Delete = append(ch.Delete, agree.Key(k))
				}
				return ch, nil
			})
		},
	}
}

// proposeCorrection proposes the change that makeChange derives from the accepted agreement.
func (c *Client) proposeCorrection(ctx context.Context, id string, makeChange func(cur *agree.Agreement) (agree.Change, error)) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	a, head, cur, err := c.loadAccepted(ctx)
	if err != nil {
		return err
	}
	ch, err := makeChange(cur)
	if err != nil {
		return err
	}
	p := accept.Proposal{
		ID: changeID(id), Author: c.settings.Author, Kind: accept.KindCorrection,
		Base: head.Version, HasBase: true, Resubmitted: id != "", Change: ch,
	}
	res, err := a.Propose(ctx, p)
	if err != nil {
		return unknownOutcomeError(p.ID, err)
	}
	return c.printResult(res)
}

// editRow returns a row of the given kind with the given fields set. All other fields keep the values of
// the row in cur, or get the defaults if cur has no such row.
func editRow(cur *agree.Agreement, kind agree.Kind, fields []string) (agree.Row, error) {
	defaults := sheet.DefaultConfig()
	lookup := agree.Row{Kind: kind}
	for _, f := range fields {
		if err := setField(&lookup, f); err != nil {
			return lookup, err
		}
	}
	row, ok := cur.Row(lookup.Key())
	if !ok {
		row = agree.Row{Kind: kind}
		if kind == agree.KindRoute {
			row.Class, row.Repeat, row.Timeout = defaults.Class, defaults.Repeat, defaults.Timeout
		}
	}
	for _, f := range fields {
		if err := setField(&row, f); err != nil {
			return row, err
		}
	}
	return row, nil
}

// setField parses field, which has the form FIELD=VALUE, and sets it in r.
func setField(r *agree.Row, field string) error {
	name, value, ok := strings.Cut(field, "=")
	if !ok {
		return fmt.Errorf("%w: %q is not FIELD=VALUE", errUsage, field)
	}
	switch strings.ToLower(name) {
	case "member":
		r.Member = ident.MemberID(value)
	case "service":
		r.Service = ident.ServiceID(value)
	case "route":
		r.Route = ident.RouteID(value)
	case "prefix":
		r.Prefix = value
	case "class":
		r.Class = agree.Class(value)
	case "repeat":
		r.Repeat = agree.Repeat(value)
	case "units":
		n, err := strconv.Atoi(value)
		if err != nil {
			return fmt.Errorf("%w: Units %q is not a whole number", errUsage, value)
		}
		r.Units = ident.Units(n)
	case "timeout":
		d, err := time.ParseDuration(value)
		if err != nil {
			return fmt.Errorf("%w: Timeout %q is not a duration such as 2s", errUsage, value)
		}
		r.Timeout = d
	default:
		return fmt.Errorf("%w: unknown field %q", errUsage, name)
	}
	return nil
}
