package cmds

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"cactusline.dev/cactusline/internal/conn/remote"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/record"
)

// devRecords returns the records of the dev command's fleet.
func devRecords(targets []record.Target) ([]*record.Record, error) {
	values := []any{
		&record.Customer{Name: "dev", Keys: []record.KeyHash{record.HashKey(devKey)}},
		&record.Model{Name: devModel, Versions: []record.ModelVersion{{Name: "1"}}},
		&record.Service{Name: devService, NotRepeatable: []string{"POST /bibs"}},
		&record.Route{Name: "chats", Model: devModel},
		&record.Route{Name: "registrations", Service: devService},
	}
	for i := range targets {
		values = append(values, &targets[i])
	}
	records := make([]*record.Record, 0, len(values))
	for _, value := range values {
		r, err := record.New(value)
		if err != nil {
			return nil, fmt.Errorf("create record: %w", err)
		}
		records = append(records, r)
	}
	return records, nil
}

// applyRecords commits records, overwriting any existing versions.
func applyRecords(ctx context.Context, client *remote.Client, records []*record.Record) error {
	for {
		result, err := proposeRecords(ctx, client, records)
		if err != nil {
			return err
		}
		switch result.GetStatus() {
		case cmdpb.Status_STATUS_OK:
			return nil
		case cmdpb.Status_STATUS_CONFLICT:
			if records, err = rebase(records, result.GetConflicts()); err != nil {
				return err
			}
		default:
			return fmt.Errorf("submit records: %s", result.String())
		}
	}
}

// proposeRecords proposes the records in one change.
func proposeRecords(ctx context.Context, client *remote.Client, records []*record.Record) (*cmdpb.Result, error) {
	body := new(cmdpb.ApplyRecords)
	for _, r := range records {
		body.Records = append(body.Records, r.JSON())
	}
	result, err := client.Propose(ctx, &cmdpb.Command{
		Actor:  "dev",
		Change: uniqueName("dev"),
		Body:   &cmdpb.Command_Apply{Apply: body},
	})
	if err != nil {
		return nil, fmt.Errorf("submit records: %w", err)
	}
	return result, nil
}

// rebase returns the records with the base versions of conflicting ones set to the
// current versions.
func rebase(records []*record.Record, conflicts []*cmdpb.Conflict) ([]*record.Record, error) {
	rebased := make([]*record.Record, 0, len(records))
	for _, r := range records {
		for _, conflict := range conflicts {
			if conflict.GetWanted().GetKind() != string(r.Key().Kind) || conflict.GetWanted().GetName() != r.Key().Name {
				continue
			}
			winner, err := record.Parse(conflict.GetWinner())
			if err != nil {
				return nil, fmt.Errorf("parse current record: %w", err)
			}
			if r, err = r.WithVersion(winner.Version()); err != nil {
				return nil, fmt.Errorf("set version: %w", err)
			}
		}
		rebased = append(rebased, r)
	}
	return rebased, nil
}

// awaitReady waits until the router is ready.
func (f *devFleet) awaitReady(address string) error {
	ctx, cancel := context.WithTimeout(f.ctx, devReadyTimeout)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", http.NoBody)
		if err != nil {
			return fmt.Errorf("check router readiness: %w", err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		if (clock.System{}).Sleep(ctx, devPollInterval) != nil {
			return errors.Join(errors.New("timed out waiting for the fleet to be ready"), f.receiveResult())
		}
	}
}

// receiveResult receives the result of a task that has ended. It returns nil if there
// is none yet.
func (f *devFleet) receiveResult() error {
	select {
	case err := <-f.results:
		return err
	default:
		return nil
	}
}
