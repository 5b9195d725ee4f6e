package script

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/node"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
	"github.com/rogpeppe/go-internal/testscript"
)

// printing makes a script command of a function that returns output. With "!"
// the function must fail.
func printing(f func(d *deployment, args []string) (string, error)) cmdFunc {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		out, err := f(deploymentOf(ts), args)
		_, werr := io.WriteString(ts.Stdout(), out)
		ts.Check(werr)
		if err != nil {
			ts.Logf("%v", err)
		}
		if (err != nil) != neg {
			ts.Fatalf("unexpected result %q: %v", out, err)
		}
	}
}

func (d *deployment) run(program string, args ...string) (string, error) {
	c := exec.Command(filepath.Join(binaries, program), args...)
	c.Dir = d.dir
	c.Env = append(os.Environ(), "EEL_TOKEN="+adminToken, "EEL_ADDRS="+strings.Join(d.replicas, ","))
	var out, bad bytes.Buffer
	c.Stdout, c.Stderr = &out, &bad
	err := c.Run()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, bad.String())
	}
	return out.String() + bad.String(), err
}

func (d *deployment) ctl(args []string) (string, error) {
	return d.run("eelctl", args...)
}

func (d *deployment) call(args []string) (string, error) {
	a := []string{"call"}
	if len(args) == 0 || args[0] != "--entry" {
		for _, e := range d.entryAddrs() {
			a = append(a, "--entry", e)
		}
	} else {
		p, err := d.get(args[1])
		if err != nil {
			return "", err
		}
		a = append(a, "--entry", proxyAddr(p.ip))
		args = args[2:]
	}
	return d.run("eelfake", append(a, args...)...)
}

// httpGet returns status and body of a process's response to a GET: get NAME PATH.
func (d *deployment) httpGet(args []string) (string, error) {
	p, err := d.get(args[0])
	if err != nil {
		return "", err
	}
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + proxyAddr(p.ip) + args[1])
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return fmt.Sprintf("%d %s\n", res.StatusCode, b), err
}

func (d *deployment) leader([]string) (string, error) {
	for i, r := range d.replicas {
		name := fmt.Sprintf("state%d", i+1)
		if name == d.oldLeader {
			continue
		}
		if p, ok := d.procs[name]; !ok || !p.Running() || p.Frozen() {
			continue
		}
		c := http.Client{Timeout: time.Second}
		res, err := c.Get("http://" + r + wire.PathStatus + "?self=1")
		if err != nil {
			continue
		}
		var s wire.Status
		var n node.Status
		err = json.NewDecoder(res.Body).Decode(&s)
		res.Body.Close()
		if err == nil && json.Unmarshal(s.Replica, &n) == nil && n.Role == "leader" {
			return name + "\n", nil
		}
	}
	return "", fmt.Errorf("no replica leads")
}
