package probe

import (
	"context"
	"fmt"
	"io"
	"net/http"
)

// Get probes a process with a GET request, and returns an error unless the answer has
// status 200.
func Get(ctx context.Context, c *http.Client, url string) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	res, err := c.Do(q)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered a probe with status %d", url, res.StatusCode)
	}
	_, err = io.Copy(io.Discard, res.Body)
	return err
}
