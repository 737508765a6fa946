package protocol

import "strings"

// Overview is the state of a controller as shown to operators. It contains only what the controller knows
// locally: building it sends no request to the state service, the cloud or the siblings.
type Overview struct {
	Controller string       `json:"controller"`
	Zone       string       `json:"zone"`
	UpS        float64      `json:"upS"`
	Generation int          `json:"generation"` // the generation of records that its version understands
	Session    SessionView  `json:"session"`
	Leader     string       `json:"leader"`
	Holds      MachineCount `json:"holds"`
	OwnerView
	State ClientView `json:"stateService"`
	Cloud ClientView `json:"cloud"`
	// Busy lists parts of the controller that did not answer in time.
	Busy []string `json:"busy,omitempty"`
}

// OwnerView is the part of an overview that comes from the controller's owner.
type OwnerView struct {
	Window   *WindowView   `json:"window"`
	Slots    []SlotState   `json:"slots"`
	Fleet    []FleetCount  `json:"fleet"`
	Jobs     JobCount      `json:"jobs"`
	Waiting  []JobView     `json:"waiting"` // the longest waiting jobs, at most MaxWaiting
	Siblings []SiblingView `json:"siblings"`
	// NoCapacity lists kinds of machines that the cloud recently had no capacity for; only the leader knows
	// them.
	NoCapacity []string `json:"noCapacity"`
	// Teams shows the use of the limited teams whose jobs this controller places.
	Teams []TeamView `json:"teams,omitempty"`
	// Quotas shows nested quotas, if enabled: the accounts that use most.
	Quotas *QuotaView `json:"quotas,omitempty"`
}

// TeamView is a limited team's use, as the controller counts it that places the team's jobs.
type TeamView struct {
	Team  string `json:"team"`
	Limit Room   `json:"limit"`
	// Placed is the room of tasks on machines, Pending that of starts whose outcome is not known yet, Lost that
	// of tasks that are gone although a command to start them may still be in transit.
	Placed  Room `json:"placed"`
	Pending Room `json:"pending"`
	Lost    Room `json:"lost"`
}

// MaxWaiting limits the waiting jobs in an overview.
const MaxWaiting = 25

// SessionView is the state of a controller's session with the state service.
type SessionView struct {
	Valid bool    `json:"valid"`
	Term  uint64  `json:"term"`
	LeftS float64 `json:"leftS"` // how long the controller may act without a renewal
	// WorkersUnreachable: the controller's workers can't reach it.
	WorkersUnreachable bool `json:"deaf"`
}

// WindowView is the division of the ring that a controller uses.
type WindowView struct {
	Number uint64   `json:"number"`
	Owners []string `json:"owners"`
	Newest uint64   `json:"newest"` // newest published window, which may begin later
}

// SlotState is the state of one slot, that is of a share of the workers.
type SlotState struct {
	Slot     int    `json:"slot"`
	Holder   string `json:"holder"`
	Complete bool   `json:"complete"` // the holder knows all tasks that may be on the slot's machines
	Machines int    `json:"machines"`
	Awaited  int    `json:"awaited"` // machines that may have tasks and whose first report is overdue
}

// MachineCount counts the machines that a controller holds, by state, and their tasks. A machine may be in
// several states.
type MachineCount struct {
	Machines int `json:"machines"`
	Silent   int `json:"silent"`  // unresponsive, or their leases have surely ended
	Suspect  int `json:"suspect"` // fail the tasks that they are given
	Doubted  int `json:"doubted"` // in quarantine after failures
	Draining int `json:"draining"`
	// Vacating counts the draining machines whose services are being moved elsewhere.
	Vacating int `json:"vacating"`
	Tasks    int `json:"tasks"`
	Running  int `json:"running"`
	// Answers: the controller answers its workers, under a session or on promises. HorizonS is the age in
	// seconds of the time up to which the controller surely knows all cancellations, 0 if there is no such
	// time yet. If HorizonS grows too large, the controller answers no workers.
	Answers  bool    `json:"answers"`
	HorizonS float64 `json:"horizonS"`
}

// FleetCount counts the machines of one kind over all controllers.
type FleetCount struct {
	Type    string  `json:"type"`
	Spot    bool    `json:"spot"`
	Up      int     `json:"up"`
	Booting int     `json:"booting"`
	Used    float64 `json:"used"` // used fraction of the capacity that is up
}

// JobCount counts the jobs that are not over.
type JobCount struct {
	Active  int            `json:"active"`
	Owned   int            `json:"owned"` // jobs in this controller's range
	Waiting map[string]int `json:"waiting"`
	// WithDependencies counts jobs that need others or that others need. NeedsUnknown counts jobs whose needs
	// are still being looked up.
	WithDependencies int `json:"chained"`
	NeedsUnknown     int `json:"unclear"`
	// RequestsPending counts requests to holders without an answer yet, Unarchived jobs that are over and whose
	// records are not archived yet.
	RequestsPending int `json:"asksPending"`
	Unarchived      int `json:"unmoved"`
	// Moves counts the moves of service replicas that this controller began, WaitingForImage the tasks that
	// currently wait for room on a machine that has their image.
	Moves           int `json:"moves"`
	WaitingForImage int `json:"patient"`
}

// SiblingView is what a controller knows about one controller, itself included.
type SiblingView struct {
	Name    string  `json:"name"`
	Session bool    `json:"session"`
	HeardS  float64 `json:"heardS"` // time since the last message from it, negative if there was none
	// Generation is the generation of records that its version understands: 0 if unknown, 1 for versions that
	// don't report it.
	Generation int `json:"generation"`
}

// ClientView counts the outcomes of requests to a service.
type ClientView struct {
	Requests   int64            `json:"requests"`
	Refused    int64            `json:"refused"`
	Unanswered int64            `json:"unanswered"`
	NoBudget   int64            `json:"noBudget"` // abandoned before they were sent
	Changes    map[string]int64 `json:"changes,omitempty"`
}

// JobView is the state of a job, and why it waits, as shown to operators.
type JobView struct {
	ID       string `json:"id"`
	Status   string `json:"status"`
	Class    string `json:"class"`
	Team     string `json:"team"`
	Shape    Shape  `json:"shape"`
	Priority string `json:"priority"`
	// Name and Queue are those of the batch script, Account is the job's quota account.
	Name    string  `json:"name,omitempty"`
	Queue   string  `json:"queue,omitempty"`
	Account string  `json:"account,omitempty"`
	Owner   string  `json:"owner"`
	AgeS    float64 `json:"ageS"`
	Tasks   int     `json:"tasks"`
	Done    int     `json:"done"`
	Running int     `json:"running"`
	Placed  int     `json:"placed"` // assigned to machines, running or not
	Reason  string  `json:"reason,omitempty"`
	// StartsInS is the expected time until the first waiting task starts, nil if unknown.
	StartsInS *float64 `json:"startsInS"`
	// Needs are jobs that it waits for, NeededBy some of those that wait for it. CancelledWith is the job whose
	// cancellation cancelled it.
	Needs         []string `json:"needs,omitempty"`
	NeededBy      []string `json:"neededBy,omitempty"`
	CancelledWith string   `json:"cancelledWith,omitempty"`
	// RaisedTo is the priority inherited from jobs that need it, if higher than its own. DueInS is the time
	// until its own deadline, MustEndInS the time until it must end for its own deadline and those of jobs
	// that need it.
	RaisedTo   string   `json:"raisedTo,omitempty"`
	DueInS     *float64 `json:"dueInS,omitempty"`
	MustEndInS *float64 `json:"mustEndInS,omitempty"`
	// FailedOn is the number of machines on which tasks of the job failed.
	FailedOn int `json:"failedOn,omitempty"`
}

// ScriptAccepted is the answer to an accepted batch script.
type ScriptAccepted struct {
	// ID is the job id in the form of PBS commands, Job the native job id.
	ID     string `json:"id"`
	Job    string `json:"job"`
	Status string `json:"status"`
	// Notes name directives that have no effect in daledyke.
	Notes []string `json:"notes,omitempty"`
}

// JobFilter selects jobs; empty fields match every job.
type JobFilter struct {
	Queue, Account, Name, Class, Team string
	// Over: include jobs that ended recently. Batch: only jobs of batch scripts.
	Over, Batch bool
	// After is the id after which the list continues.
	After string
}

// Matches reports whether the filter selects the job.
func (f *JobFilter) Matches(s *JobSpec, over bool) bool {
	name, queue := "", ""
	if s.Batch != nil {
		name, queue = s.Batch.Name, s.Batch.Queue
	}
	matches := func(want, got string) bool { return want == "" || want == got }
	return (f.Over || !over) && (!f.Batch || s.Batch != nil) && matches(f.Queue, queue) && matches(f.Name, name) && matches(f.Class, s.Class) && matches(f.Team, s.Team) &&
		(f.Account == "" || s.Account == f.Account || strings.HasPrefix(s.Account, f.Account+"/")) && s.ID > f.After
}

// JobList is a page of the jobs that a filter selects, ordered by id.
type JobList struct {
	Jobs []JobView `json:"jobs"`
	// More: further jobs follow the last one.
	More bool `json:"more"`
}

// MaxListed limits the jobs in one page.
const MaxListed = 200

// HoldAnswer is the state of a job after a request to hold or release it.
type HoldAnswer struct {
	ID   string `json:"id"`
	Held bool   `json:"held"`
	// Changed: this request changed the state.
	Changed bool   `json:"changed"`
	Status  string `json:"status"`
}

// QuotaAccount is the current state of an account of nested quotas.
type QuotaAccount struct {
	Name      string  `json:"name"`
	Guarantee Room    `json:"guarantee"`
	Limit     Room    `json:"limit"` // 0: unlimited
	Weight    float64 `json:"weight"`
	// Used is the use by the account and all accounts below it. Borrowed is the use beyond its guarantee,
	// Lent the part of its guarantee that others may use.
	Used     Room `json:"used"`
	Borrowed Room `json:"borrowed"`
	Lent     Room `json:"lent"`
	// Waiting counts the jobs in this controller's range that wait because of this account.
	Waiting int `json:"waiting,omitempty"`
}

// QuotaView is what a controller knows about nested quotas.
type QuotaView struct {
	// Revision counts changes at run time; 0 means that the accounts are those of the settings.
	Revision uint64 `json:"revision"`
	By       string `json:"by,omitempty"`
	Why      string `json:"why,omitempty"`
	At       string `json:"at,omitempty"`
	// Authorities are the controllers that grant permits, by team, as far as known.
	Authorities map[string]string `json:"authorities,omitempty"`
	// Permits counts the outstanding permits that this controller granted as an authority. Over lists the
	// accounts whose protected services alone exceed their limit.
	Permits int `json:"permits"`
	// Requests counts this controller's requests to authorities so far, Granted the permits received.
	Requests int64          `json:"requests"`
	Granted  int64          `json:"granted"`
	Over     []string       `json:"over,omitempty"`
	Accounts []QuotaAccount `json:"accounts,omitempty"`
}

// The reasons why a job that is not over waits.
const (
	ReasonSlots      = "slots incomplete"
	ReasonLimit      = "limit of its team"
	ReasonQuota      = "quota of " // followed by the account whose limit applies
	ReasonFailing    = "failing everywhere"
	ReasonFetching   = "fetching"
	ReasonGang       = "waiting for its gang"
	ReasonBooting    = "booting"
	ReasonNoCapacity = "no capacity"
	ReasonNoRoom     = "no room"
	ReasonPlacing    = "being placed"
	ReasonNeeds      = "waits for other jobs"
	ReasonHeld       = "held"
	ReasonTime       = "waits for its time"
)
