package metrics

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// headerTimeout bounds the time to read the header of a request.
const headerTimeout = 5 * time.Second

// Serve serves the registry on the address until ctx ends. If the address is
// empty, it only waits for ctx.
func Serve(ctx context.Context, address string, r *Registry) error {
	if address == "" {
		<-ctx.Done()
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	server := &http.Server{Handler: r.Handler(), ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve metrics: %w", err)
	}
	return nil
}
