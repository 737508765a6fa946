// Package schema describes job submissions by a JSON schema that is generated from the types that decode them.
package schema

import (
	"encoding/json"
	"sync"

	"github.com/invopop/jsonschema"

	"daledyke/internal/protocol"
)

// Submission is the JSON schema (draft 2020-12) of a submission at POST /v1/jobs. A submission that matches
// it is well formed (no status 400); whether the job can ever run is checked separately.
var Submission = sync.OnceValue(func() []byte {
	r := jsonschema.Reflector{DoNotReference: true, ExpandedStruct: true, AllowAdditionalProperties: true, Anonymous: true}
	s := r.Reflect(&protocol.JobSpec{})
	s.Title = "A submission to daledyke"
	s.Required = protocol.RequiredFields()
	set := func(name string, edit func(p *jsonschema.Schema)) {
		if p, ok := s.Properties.Get(name); ok {
			edit(p)
		}
	}
	number := func(n string) json.Number { return json.Number(n) }
	for _, name := range []string{"cores", "accelerators", "ramGb", "pullGb", "expectedS", "snapshotS", "flushS"} {
		set(name, func(p *jsonschema.Schema) { p.Minimum, p.Maximum = number("0"), number("1e9") })
	}
	set("passes", func(p *jsonschema.Schema) {
		p.Minimum, p.Maximum = number("1"), json.Number(maxTasks())
	})
	set("id", func(p *jsonschema.Schema) { p.Pattern = "^wk-[0-9]{1,18}$" })
	set("shape", func(p *jsonschema.Schema) { p.Enum = []any{protocol.Array, protocol.Gang, protocol.Service} })
	set("urgency", func(p *jsonschema.Schema) {
		p.Enum = nil
		for rank := range 4 {
			p.Enum = append(p.Enum, protocol.PriorityOf(rank))
		}
	})
	for _, name := range []string{"laneClass", "crew", "build"} {
		set(name, func(p *jsonschema.Schema) { one := uint64(1); p.MinLength = &one })
	}
	set("awaits", func(p *jsonschema.Schema) { p.Items.Pattern = "^wk-[0-9]{1,18}$" })
	set("dueS", func(p *jsonschema.Schema) { p.Minimum, p.Maximum = number("0"), number("1e9") })
	// Optional fields may be null.
	for _, name := range []string{"rigs", "plaza", "dueS", "awaits", "account", "batch"} {
		if p, ok := s.Properties.Get(name); ok {
			s.Properties.Set(name, &jsonschema.Schema{AnyOf: []*jsonschema.Schema{p, {Type: "null"}}})
		}
	}
	raw, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		panic(err) // unreachable: all values can be encoded
	}
	return raw
})

func maxTasks() string {
	raw, _ := json.Marshal(protocol.MaxTasks)
	return string(raw)
}
