package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v3"
)

// Command returns the command line of wisteria-standin.
func Command() *cli.Command {
	listen := &cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address to listen on"}
	return &cli.Command{
		Name:  "wisteria-standin",
		Usage: "stand-ins of the platform's store and of backend servers, for tests",
		Commands: []*cli.Command{
			callCommand(),
			{
				Name:   "store",
				Usage:  "run a store with a host list",
				Flags:  []cli.Flag{listen},
				Action: runStore,
			},
			{
				Name:  "backend",
				Usage: "run a backend server",
				Flags: []cli.Flag{
					listen,
					&cli.StringFlag{Name: "name", Required: true, Usage: "name in the document"},
					&cli.IntFlag{Name: "slots", Value: 3, Usage: "requests run at the same time"},
					&cli.DurationFlag{Name: "service-time", Value: 5 * time.Millisecond, Usage: "run time of a request"},
				},
				Action: runBackend,
			},
		},
	}
}

func runStore(ctx context.Context, cmd *cli.Command) error {
	server := &http.Server{Handler: NewStore().Handler(), ReadHeaderTimeout: time.Minute}
	return serve(ctx, cmd.String("listen"), server.Serve)
}

func runBackend(ctx context.Context, cmd *cli.Command) error {
	cfg := BackendConfig{
		Name:        cmd.String("name"),
		Slots:       cmd.Int("slots"),
		ServiceTime: cmd.Duration("service-time"),
	}
	const crashExitCode = 3
	backend := NewBackend(cfg, func() { os.Exit(crashExitCode) })
	return serve(ctx, cmd.String("listen"), backend.Serve)
}

func serve(ctx context.Context, address string, serveListener func(net.Listener) error) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	fmt.Println("listening on", listener.Addr())
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	if err := serveListener(listener); ctx.Err() == nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}
