package cli

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"aspenyard.example/bench/experiment"
	"aspenyard.example/catalogue"
	"aspenyard.example/settings"
)

type checkCommand struct {
	Files []string `arg:"positional,required" placeholder:"FILE" help:"settings of a process or a stand-in, a catalogue file or record, or an experiment"`
}

func (c *checkCommand) run(t terminal) int {
	code := exitOK
	for _, path := range c.Files {
		kind, err := checkFile(path)
		if err != nil {
			fmt.Fprintf(t.out, "%s: %v\n", path, err)
			code = exitFailed
			continue
		}
		fmt.Fprintf(t.out, "%s: ok (%s)\n", path, kind)
	}
	return code
}

// catalogueFile is a file with several catalogue records.
type catalogueFile struct {
	Records []json.RawMessage `json:"records"`
}

// Check implements settings.Checker. It checks nothing: decodeRecords validates the
// records one by one.
func (*catalogueFile) Check() settings.FieldErrors { return nil }

// checkFile recognises a file's kind by a field that only this kind has, and validates it.
// It returns the kind also with an error, once it is known.
func checkFile(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return "", errors.Wrap(err, "not a JSON object")
	}
	switch {
	case fields["readiness_listen"] != nil:
		return "settings of a gateway", settings.Decode(data, &settings.Gateway{})
	case fields["callers_listen"] != nil:
		return "settings of an entry", settings.Decode(data, &settings.Entry{})
	case fields["endpoint"] != nil:
		return "settings of an agent", settings.Decode(data, &settings.Agent{})
	case fields["policies"] != nil:
		return "experiment", settings.Decode(data, &experiment.File{})
	case fields["records"] != nil:
		return "catalogue file", checkRecords(data)
	case fields["standin"] != nil:
		return "settings of a stand-in", settings.Decode(data, &standinSettings{})
	case fields["type"] != nil:
		_, err := catalogue.DecodeRecord(data)
		return "catalogue record", err
	}
	return "", errors.New("unknown kind of file: neither settings (callers_listen, endpoint or standin), nor a catalogue (records or type), nor an experiment (policies)")
}

func checkRecords(data []byte) error {
	_, err := decodeRecords(data)
	return err
}

// decodeRecords decodes and validates a catalogue file. The field names in its errors
// include the position of the record.
func decodeRecords(data []byte) ([]*catalogue.Record, error) {
	var file catalogueFile
	if err := settings.Decode(data, &file); err != nil {
		return nil, errors.Wrap(err, "catalogue file")
	}
	var records []*catalogue.Record
	var fieldErrs settings.FieldErrors
	for i, raw := range file.Records {
		record, err := catalogue.DecodeRecord(raw)
		var recordErrs settings.FieldErrors
		switch {
		case errors.As(err, &recordErrs):
			for _, fieldErr := range recordErrs {
				fieldErr.Field = fmt.Sprintf("records[%d].%s", i, fieldErr.Field)
				fieldErrs = append(fieldErrs, fieldErr)
			}
		case err != nil:
			return nil, err
		}
		records = append(records, record)
	}
	return records, fieldErrs.Err()
}
