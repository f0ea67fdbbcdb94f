package client

import (
	"context"
	"crypto/rand"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/marjoramcroft/marjoramcroft/accept"
	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/sheet"
)

func (c *Client) uploadCommand() command {
	var f changeFlags
	return command{
		name: "upload", usage: "SHEET.csv",
		short: "Make a sheet the agreement.",
		long: "All bad rows are listed and nothing is applied if any row is bad. Rows that were corrected since\n" +
			"the sheet's base Version are conflicts; nothing is applied then either. The base is the #Base row of\n" +
			"the sheet, the flag -base, or the last Version that a sheet produced. SHEET.csv may be - for standard input.",
		flags: func(fs *flag.FlagSet) {
			f.register(fs, "Version from which the sheet was exported", "an upload")
		},
		run: func(ctx context.Context, args []string) error {
			if err := checkArgs(args, "SHEET.csv"); err != nil {
				return err
			}
			return c.upload(ctx, args[0], f)
		},
	}
}

func (c *Client) upload(ctx context.Context, path string, f changeFlags) error {
	s, err := readSheet(path)
	if err != nil {
		return err
	}
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	if f.dryRun {
		return c.previewUpload(ctx, s)
	}
	a, err := c.newAcceptor()
	if err != nil {
		return err
	}
	p := accept.Proposal{
		ID: changeID(f.id), Author: c.settings.Author, Kind: accept.KindSheet,
		Base: s.Base, HasBase: s.HasBase, Resubmitted: f.id != "", Change: agree.Change{Put: s.AgreementRows()},
	}
	if f.base > 0 {
		p.Base, p.HasBase = ident.Version(f.base), true
	}
	res, err := a.Propose(ctx, p)
	if err != nil {
		return uploadError(s, p.ID, err)
	}
	return c.printResult(res)
}

func readSheet(path string) (*sheet.Sheet, error) {
	if path == "-" {
		return sheet.Read("standard input", os.Stdin, sheet.DefaultConfig())
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open sheet: %w", err)
	}
	defer func() { _ = file.Close() }()
	return sheet.Read(path, file, sheet.DefaultConfig())
}

// previewUpload prints the difference between the accepted agreement and the sheet.
func (c *Client) previewUpload(ctx context.Context, s *sheet.Sheet) error {
	_, head, cur, err := c.loadAccepted(ctx)
	if err != nil {
		return err
	}
	next, err := agree.New(head.Version+1, s.AgreementRows())
	if err != nil {
		return err
	}
	diff := agree.Diff(cur, next)
	return c.print(diff, func(w io.Writer) {
		writeDiff(w, cur, diff, head.Version)
	})
}

// writeDiff writes one line for each row that diff changes in cur, then the numbers of rows put and deleted
// against the Version base.
func writeDiff(w io.Writer, cur *agree.Agreement, diff agree.Change, base ident.Version) {
	for _, r := range diff.Put {
		sign := "+"
		if _, ok := cur.Row(r.Key()); ok {
			sign = "~"
		}
		_, _ = fmt.Fprintf(w, "%s %s\n", sign, describeRow(r))
	}
	for _, k := range diff.Delete {
		_, _ = fmt.Fprintf(w, "- %s\n", k)
	}
	_, _ = fmt.Fprintf(w, "%d rows put, %d deleted, against Version %d; nothing applied\n", len(diff.Put), len(diff.Delete), base)
}

// uploadError adds the line numbers in the sheet to a conflict, and the change id to an unknown outcome.
func uploadError(s *sheet.Sheet, id ident.ChangeID, err error) error {
	var ce *accept.ConflictError
	if errors.As(err, &ce) {
		text := ""
		for _, conflict := range ce.Conflicts {
			line := "absent from the sheet"
			if n := s.Line(conflict.Key); n > 0 {
				line = fmt.Sprintf("%s:%d", s.File, n)
			}
			text += fmt.Sprintf("\n%s: %s", line, conflict)
		}
		return fmt.Errorf("%w; nothing applied%s", accept.ErrConflict, text)
	}
	return unknownOutcomeError(id, err)
}

// changeID returns id, or a random change id if id is empty.
func changeID(id string) ident.ChangeID {
	if id != "" {
		return ident.ChangeID(id)
	}
	return ident.ChangeID(rand.Text())
}

func (c *Client) printResult(res accept.Result) error {
	return c.print(res, func(w io.Writer) {
		switch {
		case res.Repeated:
			_, _ = fmt.Fprintf(w, "accepted before as Version %d\n", res.Version)
		case res.Unchanged:
			_, _ = fmt.Fprintf(w, "Version %d has these rows already; nothing applied\n", res.Version)
		case res.Restored > 0:
			_, _ = fmt.Fprintf(w, "restored Version %d as Version %d, %d rows put, %d deleted\n",
				res.Restored, res.Version, len(res.Change.Put), len(res.Change.Delete))
		case res.Change.IsEmpty():
			_, _ = fmt.Fprintf(w, "accepted as Version %d, no rows changed\n", res.Version)
		default:
			_, _ = fmt.Fprintf(w, "accepted as Version %d, %d rows put, %d deleted\n", res.Version, len(res.Change.Put), len(res.Change.Delete))
		}
		for _, k := range res.Kept {
			_, _ = fmt.Fprintf(w, "kept the later correction of %s\n", k)
		}
	})
}

// describeRow formats a row as its key followed by its other fields.
func describeRow(r agree.Row) string {
	switch r.Kind {
	case agree.KindCap:
		return fmt.Sprintf("%s Units=%d", r.Key(), r.Units)
	case agree.KindRoute:
		return fmt.Sprintf("%s Member=%s Service=%s Prefix=%s Class=%s Repeat=%s Timeout=%s",
			r.Key(), r.Member, r.Service, r.Prefix, r.Class, r.Repeat, r.Timeout)
	default:
		return string(r.Key())
	}
}
