// Package opctl holds the commands of eelctl, the operators' command line.
//
// # Usage
//
//	code := opctl.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
//
// Output is formatted text by default and JSON with -o json. The exit codes are
// 0 for success, 1 for failure, 2 for a usage error or an invalid file, 3 for a
// conflict with another change, and 4 if the outcome is unknown.
package opctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/internal/setup"
	"github.com/eelgrassroad/eelgrassroad/pkg/admin"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/jessevdk/go-flags"
)

// Kind classifies the errors of the package.
type Kind string

// The kinds of errors.
const (
	KindUsage Kind = "usage"
)

// Error is the error of this package.
type Error = errs.Error[Kind]

const callTimeout = 40 * time.Second

type options struct {
	Addrs     []string `long:"addr" env:"EEL_ADDRS" env-delim:"," description:"address of an entry or a replica, IP:PORT; may be given several times"`
	Token     string   `long:"token" env:"EEL_TOKEN" description:"owner's token; prefer the file or the environment" default-mask:"-"`
	TokenFile string   `long:"token-file" env:"EEL_TOKEN_FILE" description:"file with the owner's token"`
	Output    string   `short:"o" long:"output" choice:"text" choice:"json" default:"text" description:"form of the output"`
	Version   func()   `long:"version" description:"print the version and exit"`
}

// app holds the state of one run of eelctl.
type app struct {
	options
	in   io.Reader
	out  io.Writer
	exit int
}

// Run executes the command line args and returns the exit code.
func Run(args []string, in io.Reader, out, errOut io.Writer) int {
	a := &app{in: in, out: out}
	a.Version = func() { a.exit = -1 }
	p := flags.NewNamedParser("eelctl", flags.HelpFlag|flags.PassDoubleDash)
	if err := a.commands(p); err != nil {
		fmt.Fprintln(errOut, "eelctl:", err)
		return setup.ExitFailed
	}
	_, err := p.ParseArgs(args)
	if a.exit < 0 {
		fmt.Fprintln(out, "eelctl", setup.Version)
		return setup.ExitOK
	}
	var f *flags.Error
	if errors.As(err, &f) && f.Type == flags.ErrHelp {
		fmt.Fprintln(out, f.Message)
		return setup.ExitOK
	}
	if err != nil {
		fmt.Fprintln(errOut, "eelctl:", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var f *flags.Error
	switch {
	case err == nil:
		return setup.ExitOK
	case errors.As(err, &f), errs.Is(err, KindUsage), errs.Is(err, model.KindSyntax), errs.Is(err, model.KindInvalid):
		return setup.ExitUsage
	case errs.Is(err, admin.KindConflict):
		return setup.ExitConflict
	case errs.Is(err, admin.KindUnknown):
		return setup.ExitUnknown
	}
	return setup.ExitFailed
}

// command describes a subcommand for go-flags.
type command struct {
	name, short string
	data        any
}

func (a *app) commands(p *flags.Parser) error {
	if _, err := p.AddGroup("Settings", "", &a.options); err != nil {
		return err
	}
	top := []command{
		{"get", "print the catalogue", &getCmd{a: a}},
		{"apply", "put the objects of a file into the catalogue", &applyCmd{fileCmd: fileCmd{a: a}}},
		{"diff", "show what apply would change", &diffCmd{fileCmd: fileCmd{a: a}}},
		{"validate", "check a file without a server", &validateCmd{fileCmd: fileCmd{a: a}}},
		{"drain", "take a region, failure domain or target out of service", &drainCmd{a: a}},
		{"undrain", "put it back into service", &undrainCmd{a: a}},
		{"status", "show replicas, VMs, targets, links and leases", &statusCmd{a: a}},
		{"held", "show the targets that leave or pause by their own word, as entries know them", &heldCmd{a: a}},
		{"bans", "show the requests that ended targets and are suspected or banned", &bansCmd{a: a}},
		{"lift", "lift the ban of a request", &liftCmd{a: a}},
		{"why", "tell from log files what became of a request and what decided it", &whyCmd{a: a}},
	}
	if err := addCommands(p.Command, top); err != nil {
		return err
	}
	nested := []struct {
		name, short string
		list        []command
	}{
		{"policy", "steering policies", []command{
			{"swap", "give a policy another algorithm or weight", &swapCmd{a: a}},
			{"compare", "compare the policies on live traffic", &compareCmd{a: a}},
		}},
		{"report", "reports", []command{{"burn", "service-level burn by class and policy", &burnCmd{a: a}}}},
		{"replica", "state replicas", []command{
			{"add", "admit a replica", &replicaCmd{a: a, action: "add"}},
			{"remove", "take a replica out", &replicaCmd{a: a, action: "remove"}},
			{"replace", "admit the new disk of a replica", &replicaCmd{a: a, action: "replace"}},
		}},
	}
	for _, n := range nested {
		c, err := p.AddCommand(n.name, n.short, "", &struct{}{})
		if err != nil {
			return err
		}
		if err := addCommands(c, n.list); err != nil {
			return err
		}
	}
	return nil
}

func addCommands(p *flags.Command, list []command) error {
	for _, c := range list {
		if _, err := p.AddCommand(c.name, c.short, "", c.data); err != nil {
			return err
		}
	}
	return nil
}

// client returns an admin API client built from the options.
func (a *app) client() (*admin.Client, error) {
	if len(a.Addrs) == 0 {
		return nil, errs.Newf("eelctl", KindUsage, "--addr is required")
	}
	for _, x := range a.Addrs {
		if err := setup.CheckAddr("addr", x); err != nil {
			return nil, errs.New("eelctl", KindUsage, err)
		}
	}
	if a.Token == "" && a.TokenFile != "" {
		t, err := setup.Secret("token", "", a.TokenFile)
		if err != nil {
			return nil, errs.New("eelctl", KindUsage, err)
		}
		a.Token = t
	}
	return admin.New(admin.Options{Addrs: a.Addrs, Token: a.Token}), nil
}

// call runs f with an admin API client and a context that ends after callTimeout.
func (a *app) call(f func(ctx context.Context, c *admin.Client) error) error {
	c, err := a.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return f(ctx, c)
}

// print writes v as JSON, or calls text with a column-aligning writer, as the output option asks.
func (a *app) print(v any, text func(w io.Writer)) error {
	if a.Output == "json" {
		e := json.NewEncoder(a.out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
	text(w)
	return w.Flush()
}
