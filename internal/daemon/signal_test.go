package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
)

// drainingRunner drains until its standard input ends.
type drainingRunner struct{}

func (drainingRunner) Run(ctx context.Context) error {
	fmt.Println("ready")
	<-ctx.Done()
	fmt.Println("draining")
	_, err := io.ReadAll(os.Stdin)
	return err
}

// drainingVariable makes the test binary run as a daemon with the settings file
// that it names.
const drainingVariable = "DAEMON_TEST_SETTINGS"

func TestMain(m *testing.M) {
	path := os.Getenv(drainingVariable)
	if path == "" {
		os.Exit(m.Run())
	}
	os.Args = []string{"daemon", "--config", path}
	Run(Program{Name: "daemon", Build: func(Base) Runner { return drainingRunner{} }})
}

// Guards against a signal that kills a daemon which has accepted requests.
func TestSignalsDoNotCutTheDrain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "host.ini")
	if err := os.WriteFile(path, []byte(validSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, first := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), drainingVariable+"="+path)
		stdin, err := cmd.StdinPipe()
		if err != nil {
			t.Fatal(err)
		}
		stdout, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		lines := bufio.NewScanner(stdout)
		lines.Scan()
		_ = cmd.Process.Signal(first)
		if !lines.Scan() || lines.Text() != "draining" {
			t.Errorf("%v: no drain", first)
		}
		for _, again := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP} {
			_ = cmd.Process.Signal(again)
		}
		_ = stdin.Close()
		if err := cmd.Wait(); err != nil {
			t.Errorf("%v, then every signal again: %v", first, err)
		}
	}
}
