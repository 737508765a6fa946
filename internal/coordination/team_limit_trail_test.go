package coordination

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/bookkeeping"
	"daledyke/internal/config"
	"daledyke/internal/protocol"
)

// limitedOwner places the jobs of team "bound", whose limit has room for two of their tasks.
type limitedOwner struct {
	*Owner
	t *testing.T
}

// newLimitedOwner returns an owner that knows all starts of former owners, and two jobs of the team.
func newLimitedOwner(t *testing.T) (o limitedOwner, first, second *jobState) {
	owner, first := newTestOwner(t)
	cfg, err := config.Load(settingsWith(t, "", ""), "")
	if err != nil {
		t.Fatal(err)
	}
	owner.cfg = cfg
	owner.gainRevisions, owner.unarchived, owner.quotas = map[uint64]uint64{4: 1}, map[string]*bookkeeping.Job{}, newQuotas(nil, nil)
	owner.registeredMachines, owner.teamTrails = map[string]*bookkeeping.Machine{}, map[string]*teamTrail{}
	owner.adoptWindow(&bookkeeping.Window{Number: 4, Owners: []string{"c0"}})
	o = limitedOwner{owner, t}
	second = &jobState{pending: map[int]*pendingStart{}, gainWindow: 4}
	second.job = pendingJob("wk-2")
	o.jobs["wk-2"], o.active["wk-2"] = second, second
	first.gainWindow = 4
	for _, js := range []*jobState{first, second} {
		js.job.Spec.Team, js.job.Spec.Cores, js.job.Spec.Tasks = "bound", 4, 2
	}
	o.apply(holderNews(5, true))
	return o, first, second
}

// apply applies news of the machine's holder, requested with the newest fence.
func (o limitedOwner) apply(news *board.News) {
	o.teamUsageCache = nil
	o.applyNews("c1", &FeedArgs{Fence: protocol.NewToken(1, 100), Window: 4}, news, time.Now())
}

func TestTeamOverItsLimitIsLoggedOnceWithItsStarts(t *testing.T) {
	var logged bytes.Buffer
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&logged, &slog.HandlerOptions{Level: slog.LevelError})))
	defer slog.SetDefault(previous)
	o, first, _ := newLimitedOwner(t)
	for attempt := range uint64(maxAdmissions + 3) {
		o.noteAdmission(first.job.Spec, &Start{Task: "wk-1/0", Attempt: attempt, Machine: "host-000004"})
	}
	if kept := o.teamTrail("bound").admissions; len(kept) != maxAdmissions || kept[0].attempt != 3 {
		t.Errorf("%d starts are remembered, from attempt %d on", len(kept), kept[0].attempt)
	}
	news := holderNews(5, true)
	for n := range 3 {
		news.Machines[0].Tasks = append(news.Machines[0].Tasks, board.TaskView{Task: protocol.TaskName("wk-1", n), Attempt: 3, State: protocol.TaskRunning})
	}
	for range 3 {
		o.apply(news)
		o.currentTeamUsage()
	}
	if lines := strings.Count(logged.String(), "a team uses more than its limit"); lines != 1 {
		t.Errorf("%d lines: %s", lines, &logged)
	}
	views := o.limitedTeamViews()
	if len(views) != 2 || views[0].Team != "bound" || views[0].Placed.Cores != 12 || views[0].Limit.Cores != 8 {
		t.Errorf("shown: %+v", views)
	}
}
