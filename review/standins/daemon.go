package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

// daemon is one process of the system, with the settings that the platform fills into
// deploy/daemon.toml.
type daemon struct {
	name, zone, service                             string
	outbound, inbound, ready, control, peers, admin string
	appAddr                                         string
	file                                            string
	log                                             *os.File
	cmd                                             *exec.Cmd
	exited                                          chan struct{}
}

// newDaemon takes free ports for a daemon and the upstream beside it.
func newDaemon(dir, name, zone, service string) *daemon {
	a := freeAddresses(7)
	return &daemon{name: name, zone: zone, service: service, outbound: a[0], inbound: a[1], ready: a[2], control: a[3], peers: a[4], admin: a[5], appAddr: a[6],
		file: filepath.Join(dir, name+".toml")}
}

// writeSettings renders the template of the deploy file.
func (d *daemon) writeSettings(platform string, bounds map[string]any) error {
	text, err := os.ReadFile("deploy/daemon.toml")
	if err != nil {
		return err
	}
	port := func(address string) string { _, p, _ := net.SplitHostPort(address); return p }
	fields := map[string]any{
		"node": d.name, "zone": d.zone, "service": d.service, "ip": "127.0.0.1", "app_addr": d.appAddr,
		"listen.outbound": d.outbound, "listen.inbound": d.inbound, "listen.ready_address": d.ready, "listen.control": d.control,
		"internal_ports.0": port(d.peers), "internal_ports.1": port(d.admin),
		"platform.address": platform, "limits.memory_mb": 284, "limits.max_fds": 4100, "limits.link_mbps": 1000.0,
	}
	for name, value := range bounds {
		fields["bounds."+name] = value
	}
	return os.WriteFile(d.file, []byte(render(string(text), fields)), 0o600)
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z0-9_.]+)\}\}(.*?)\{\{/[a-z0-9_.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z0-9_.]+)\}\}`)
)

// render fills in a template as DEPLOY describes, as far as deploy/daemon.toml needs it.
func render(text string, fields map[string]any) string {
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		m := section.FindStringSubmatch(s)
		if v, ok := fields[m[1]]; !ok || v == false {
			return ""
		}
		return m[2]
	})
	return placeholder.ReplaceAllStringFunc(text, func(s string) string {
		return fmt.Sprint(fields[placeholder.FindStringSubmatch(s)[1]])
	})
}

// start starts the process with the command of deploy/system.toml and its own settings.
func (d *daemon) start(dir string) error {
	if d.log == nil {
		f, err := os.Create(filepath.Join(dir, d.name+".log"))
		if err != nil {
			return err
		}
		d.log = f
	}
	d.cmd = exec.Command("target/fescuehoistd", "-c", d.file)
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FESCUEHOIST_BOOT=" + d.file}
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	// The process ends with this one, however that ends.
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(d.cmd, d.exited)
	return nil
}

func (d *daemon) signal(s syscall.Signal) {
	if d.cmd != nil && d.cmd.Process != nil {
		_ = d.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (d *daemon) kill() {
	if d.cmd == nil {
		return
	}
	d.signal(syscall.SIGCONT)
	d.signal(syscall.SIGKILL)
	<-d.exited
}

func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + d.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

var takenPorts = map[string]bool{}

// The ports lie below those that the system gives to outgoing connections.
const (
	firstPort = 20000
	ports     = 12000
)

// freeAddresses returns loopback addresses with free ports, each given out once.
func freeAddresses(n int) []string {
	var all []string
	for len(all) < n {
		port := firstPort + rand.IntN(ports)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if takenPorts[address] {
			continue
		}
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = ln.Close()
		takenPorts[address] = true
		all = append(all, address)
	}
	return all
}

func listen() net.Listener {
	ln, err := net.Listen("tcp", freeAddresses(1)[0])
	if err != nil {
		panic(err)
	}
	return ln
}
