package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"
)

// host is one entry host: a process of the project's own program.
type host struct {
	name, zone, region, ip string
	settings               string
	cmd                    *exec.Cmd
	exited                 chan struct{}
}

const (
	portFront, portReady, portDirectory, portControl = "8144", "8140", "8143", "8146"
	// The run line and the template of deploy/system.toml.
	runLine  = "target/wisteria-host"
	template = "deploy/host.ini.tmpl"
	variable = "WISTERIACRANK_CONFIG"
)

func (h *host) front() string     { return h.ip + ":" + portFront }
func (h *host) directory() string { return h.ip + ":" + portDirectory }

// bounds are those of the site dhuwaa-book.
var bounds = []string{"seed-staleness-s=3", "addr-reuse-s=2", "stable-ms=3000", "ack-ms=4000", "catch-up-s=4", "drain-ms=2000", "grace-s=6", "loss-slack-ms=200",
	"config-apply-ms=2000", "rollback-slack-ms=250", "max-stretch-ms=5000", "retry-budget-ratio=0.2", "budget-window-s=10", "budget-slack=116", "cold-over=1.5",
	"cold-slack=5", "evacuate-ms=5000", "recovery-s=15", "ttl_max_s=5", "max-shift=0.15"}

// render renders the deploy template for a host.
func (w *world) render(h *host) string {
	raw, err := os.ReadFile(filepath.Join(w.root, template))
	check(err)
	text := string(raw)
	section := func(name string, lines []string) {
		re := regexp.MustCompile(`(?s)\{\{#` + name + `\}\}.*?\{\{/` + name + `\}\}\n?`)
		text = re.ReplaceAllString(text, strings.Join(lines, "\n")+"\n")
	}
	var zones, limits []string
	for _, z := range w.zones {
		zones = append(zones, z+" = "+regionOf(z))
	}
	for _, b := range bounds {
		limits = append(limits, strings.Replace(b, "=", " = ", 1))
	}
	section("zones", zones)
	section("bounds", limits)
	var seeds []string
	for _, other := range w.hosts {
		if len(seeds) < 3 {
			seeds = append(seeds, other.ip+":"+portControl)
		}
	}
	for name, value := range map[string]string{
		"node": h.name, "region": h.region, "zone": h.zone, "ip": h.ip,
		"listen.front": h.front(), "listen.ready": h.ip + ":" + portReady, "listen.directory": h.directory(), "listen.control": h.ip + ":" + portControl,
		"platform.address": w.storeAddress, "seeds": strings.Join(seeds, ","),
		"limits.memory-mb": "206", "limits.cpu-share": "0.224", "limits.link-mbps": "700.0",
	} {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	return text
}

// start starts the process of a host.
func (w *world) start(h *host) {
	h.settings = filepath.Join(w.temp, h.name+".ini")
	check(os.WriteFile(h.settings, []byte(w.render(h)), 0o600))
	log, err := os.OpenFile(filepath.Join(w.temp, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	h.cmd = exec.Command(filepath.Join(w.root, runLine))
	h.cmd.Dir = w.root
	h.cmd.Env = []string{variable + "=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	check(h.cmd.Start())
	h.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}(h.cmd, h.exited)
	w.rec.note("host %s starts, process %d", h.name, h.cmd.Process.Pid)
}

func (h *host) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + h.ip + ":" + portReady + "/wisteriacrank/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stopAll ends the processes of all hosts and waits until they are gone.
func (w *world) stopAll() {
	w.killAll()
	for _, h := range w.hosts {
		if h.cmd != nil {
			<-h.exited
		}
	}
}

func (w *world) killAll() {
	for _, h := range w.hosts {
		if h.cmd != nil {
			_ = h.cmd.Process.Kill()
		}
	}
}

var nextIP int

// loopback returns a loopback address of this run.
func loopback(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 100+pid/250%100, 1+pid%250, n)
}

func loopbackNext() string {
	nextIP++
	return loopback(nextIP)
}

func mustListen(address string) net.Listener {
	l, err := net.Listen("tcp", address)
	check(err)
	return l
}
