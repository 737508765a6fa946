package pbs

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strings"
	"text/template"

	"daledyke/internal/protocol"
)

// Submission is the job's submission, with its script.
func (j *Job) Submission(script string) protocol.JobSpec {
	s := j.Spec
	s.Batch = &protocol.Batch{Name: j.Name, Queue: j.Queue, Shell: j.Shell, Hold: j.Hold, Variables: j.Variables, Script: protocol.CompressScript(script)}
	if !j.From.IsZero() {
		s.Batch.FromMs = j.From.UnixMilli()
	}
	if j.Array != nil {
		s.Batch.First, s.Batch.Step = j.Array.First, j.Array.Step
	}
	return s
}

// IDForKey is the native id of the job that is submitted under an idempotency key: retries with the same key
// submit the same job.
func IDForKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return fmt.Sprintf("wk-%017d", binary.BigEndian.Uint64(sum[:8])%1e17)
}

// TaskName is the PBS name of a task, with its array index in brackets.
func TaskName(s *protocol.JobSpec, task int) string {
	digits := strings.TrimPrefix(s.ID, "wk-")
	if b := s.Batch; b != nil && b.Step > 0 {
		digits += fmt.Sprintf("[%d]", b.Index(task))
	}
	return digits + ".daledyke"
}

// prologue sets the environment variables that PBS scripts expect.
var prologue = template.Must(template.New("prologue").Funcs(template.FuncMap{"quote": shellQuote, "variable": exportAssignment}).Parse(
	`export PBS_ENVIRONMENT=PBS_BATCH
export PBS_JOBID={{quote .ID}}
export PBS_JOBNAME={{quote .Batch.Name}}
export PBS_QUEUE={{quote .Batch.Queue}}
export PBS_O_QUEUE={{quote .Batch.Queue}}
export PBS_O_WORKDIR="${PBS_O_WORKDIR:-$PWD}"
export PBS_TASKNUM={{.Task}}
export PBS_NUM_TASKS={{.Tasks}}
export NCPUS={{.CPUs}}
export OMP_NUM_THREADS="${OMP_NUM_THREADS:-{{.CPUs}}}"
{{- if .Array}}
export PBS_ARRAY_ID={{quote .ArrayID}}
export PBS_ARRAY_INDEX={{.Index}}
{{- end}}
PBS_NODEFILE="$(mktemp)" && export PBS_NODEFILE && hostname > "$PBS_NODEFILE"
{{- range .Batch.Variables}}
export {{variable .}}
{{- end}}
`))

// exportAssignment quotes the value of NAME=VALUE so that a shell reads it as one word.
func exportAssignment(v string) string {
	name, value, _ := strings.Cut(v, "=")
	return name + "=" + shellQuote(value)
}

// shellQuote quotes a text so that a shell reads it as one word.
func shellQuote(v string) string { return "'" + strings.ReplaceAll(v, "'", `'\''`) + "'" }

// Script is what one task of a batch job runs: the prologue, then the script. The prologue is for Bourne
// shells; scripts for other interpreters are unchanged.
func Script(s *protocol.JobSpec, task int) (string, error) {
	if s.Batch == nil {
		return "", fmt.Errorf("job %s has no script", s.ID)
	}
	if task < 0 || task >= s.Tasks {
		return "", fmt.Errorf("job %s has tasks 0 to %d, not %d", s.ID, s.Tasks-1, task)
	}
	text, err := s.Batch.Text()
	if err != nil {
		return "", err
	}
	first, rest := "", text
	if strings.HasPrefix(text, "#!") {
		first, rest, _ = strings.Cut(text, "\n")
		first += "\n"
	}
	shell := s.Batch.Shell
	if shell == "" {
		shell = strings.TrimSpace(strings.TrimPrefix(first, "#!"))
	}
	if name := shell[strings.LastIndexByte(shell, '/')+1:]; strings.HasSuffix(name, "csh") || strings.Contains(name, "python") || strings.Contains(name, "perl") {
		return text, nil
	}
	var b strings.Builder
	b.WriteString(first)
	err = prologue.Execute(&b, map[string]any{"ID": TaskName(s, task), "Batch": s.Batch, "Task": task, "Tasks": s.Tasks, "CPUs": max(1, int(s.Cores)),
		"Array": s.Batch.Step > 0, "ArrayID": JobName(s.ID, true), "Index": s.Batch.Index(task)})
	b.WriteString(rest)
	return b.String(), err
}
