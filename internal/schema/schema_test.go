package schema

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"daledyke/internal/pbs"
	"daledyke/internal/protocol"
)

func compileSchema(t *testing.T) *jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(Submission()))
	if err != nil {
		t.Fatal(err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("submission.json", doc); err != nil {
		t.Fatal(err)
	}
	s, err := c.Compile("submission.json")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// The schema and the parser of the submission API accept the same submissions and reject the same ones.
func TestSchemaAgreesWithParser(t *testing.T) {
	s := compileSchema(t)
	const valid = `{"id":"wk-000412","laneClass":"train","crew":"vision","shape":"ensemble","urgency":"high","passes":16,"cores":8.0,"accelerators":1.0,"ramGb":64.0,"build":"img-07","pullGb":6.2,"rigs":["g8"],"plaza":null,"oneZone":true,"scatter":false,"standby":true,"expectedS":240.0,"snapshotS":30.0,"flushS":4.0,"dueS":900.0}`
	changes := [][2]string{{"", ""}, {`"passes":16`, `"passes":0`}, {`"passes":16`, `"passes":100001`}, {`"passes":16`, `"passes":1.5`}, {`"passes":16`, `"passes":"16"`},
		{`wk-000412`, `job-1`}, {`wk-000412`, `wk-`}, {`wk-000412`, `wk-1234567890123456789`}, {`"cores":8.0,`, ``}, {`"cores":8.0`, `"cores":null`}, {`"cores":8.0`, `"cores":-1`},
		{`"cores":8.0`, `"cores":2e9`}, {`ensemble`, `heap`}, {`"high"`, `"urgent"`}, {`"oneZone":true`, `"oneZone":"yes"`}, {`"rigs":["g8"],`, ``}, {`"rigs":["g8"]`, `"rigs":"g8"`},
		{`"plaza":null`, `"plaza":"a"`}, {`"plaza":null`, `"plaza":7`}, {`"dueS":900.0`, `"dueS":null`}, {`"dueS":900.0`, `"dueS":-1`}, {`"dueS":900.0`, `"awaits":["wk-1"]`},
		{`"dueS":900.0`, `"awaits":["job-1"]`}, {`"dueS":900.0`, `"awaits":"wk-1"`}, {`"dueS":900.0`, `"awaits":null`}, {`"dueS":900.0`, `"account":"vision/x"`}, {`"dueS":900.0`, `"account":5`},
		{`"laneClass":"train"`, `"laneClass":""`}, {`"dueS":900.0`, `"something":"new"`}, {valid, `[1]`}}
	for _, c := range changes {
		text := strings.Replace(valid, c[0], c[1], 1)
		doc, err := jsonschema.UnmarshalJSON(strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		_, parseErr := protocol.ParseJob([]byte(text))
		if err := s.Validate(doc); (err != nil) != (parseErr != nil) {
			t.Errorf("%q for %q: the schema returns %v, the parser %v", c[1], c[0], err, parseErr)
		}
	}
}

// The translation of a script is a valid submission.
func TestTranslatedScriptsMatchSchema(t *testing.T) {
	s := compileSchema(t)
	queues := pbs.Queues{{Name: "q", Default: true, Team: "vision", Class: "c", Image: "i", Priority: "normal", Walltime: 1e9}}
	for _, script := range []string{"./x\n", "#PBS -J 0-9 -l ncpus=2\n./x\n", "#PBS -l select=3:ncpus=2:mem=1gb -W depend=afterok:5 -P vision/a -v A=1\n./x\n"} {
		j, err := pbs.Translate(script, nil, queues, "wk-1", time.Unix(0, 0))
		if err != nil {
			t.Fatal(err)
		}
		raw, _ := json.Marshal(j.Submission(script))
		doc, _ := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
		if err := s.Validate(doc); err != nil {
			t.Errorf("%q: %v", script, err)
		}
	}
}
