package catalogue

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"aspenyard.example/infra"
)

// historyLength is the number of past values that are kept of a record.
const historyLength = 20

func historyKey(key string) string { return "catalogue/history/" + key }

// AppendHistory adds an accepted edit to the record's history. The history is
// informational: it lacks an edit whose node stopped between the edit and this call.
func AppendHistory(ctx context.Context, store infra.Store, record *Record) error {
	update := func(data []byte) ([]byte, bool, error) {
		records, err := decodeHistory(data)
		if err != nil {
			return nil, false, err
		}
		records = append(records, record)
		if len(records) > historyLength {
			records = records[len(records)-historyLength:]
		}
		next, err := json.Marshal(records)
		return next, false, errors.WithStack(err)
	}
	isOwnWrite := func(data []byte) bool {
		records, err := decodeHistory(data)
		return err == nil && len(records) > 0 && records[len(records)-1].EditID == record.EditID
	}
	return infra.Update(ctx, store, historyKey(record.Key()), nil, update, isOwnWrite)
}

// History returns the last values of a record, oldest first; none if it was never
// edited. Errors: those of the store, and a value that is not valid JSON.
func History(ctx context.Context, store infra.Store, t Type, id string) ([]*Record, error) {
	value, err := store.Get(ctx, historyKey(Key(t, id)))
	if err != nil {
		return nil, err
	}
	return decodeHistory(value.Data)
}

// decodeHistory decodes a record's history; empty data is an empty history.
func decodeHistory(data []byte) ([]*Record, error) {
	var records []*Record
	if len(data) == 0 {
		return nil, nil
	}
	return records, errors.Wrap(json.Unmarshal(data, &records), "catalogue history")
}
