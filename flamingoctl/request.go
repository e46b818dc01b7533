package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/google/uuid"

	"flamingodrift.example/flamingoctl/internal/client"
)

// requestBody returns the body of the request, and the options of the command if it is a change, else nil.
func requestBody(args *arguments) (map[string]any, *changeOptions, error) {
	body := map[string]any{}
	switch {
	case args.Why != nil:
		body["key"] = args.Why.Key
		return body, nil, nil
	case args.Forget != nil:
		body["entry"] = args.Forget.Entry
		return body, nil, nil
	case args.Plan != nil:
		return body, nil, readInto(body, "sheet", args.Plan.File)
	case args.Apply != nil:
		body["confirm_stops"] = args.Apply.ConfirmStops
		return body, &args.Apply.changeOptions, readInto(body, "sheet", args.Apply.File)
	case args.Configure != nil:
		return body, &args.Configure.changeOptions, readInto(body, "config_text", args.Configure.File)
	case args.Cancel != nil:
		body["key"] = args.Cancel.Key
		return body, &args.Cancel.changeOptions, nil
	case args.Drain != nil:
		body["worker"] = args.Drain.Worker
		return body, &args.Drain.changeOptions, nil
	case args.Undrain != nil:
		body["worker"] = args.Undrain.Worker
		return body, &args.Undrain.changeOptions, nil
	default:
		return body, nil, nil
	}
}

// readInto sets a field of body to the content of a file.
func readInto(body map[string]any, field, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return &usageError{err}
	}
	body[field] = string(data)
	return nil
}

// completeChange sets the ID of a change and the revision that it is based on. Without the options it generates the ID
// and reads the current revision.
func completeChange(ctx context.Context, c *client.Client, body map[string]any, options *changeOptions) error {
	body["change_id"] = options.ChangeID
	if options.ChangeID == "" {
		body["change_id"] = uuid.NewString()
	}
	if options.Revision != nil {
		body["expected_revision"] = *options.Revision
		return nil
	}
	answer, err := c.Call(ctx, "status", map[string]any{})
	if err != nil {
		return fmt.Errorf("the present revision cannot be read, so nothing was sent: %w", err)
	}
	status := struct {
		Revision uint64 `json:"revision"`
	}{}
	if err := json.Unmarshal(answer, &status); err != nil {
		return fmt.Errorf("read status: %w", err)
	}
	body["expected_revision"] = status.Revision
	return nil
}
