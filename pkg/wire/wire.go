// Package wire defines the messages and headers that callers, targets and
// operators exchange with the system over HTTP.
//
// # Usage
//
//	r.Header.Set(wire.HeaderRequestID, "exam-4711")
//	r.Header.Set(wire.HeaderDeadline, "800")
//
// Bodies are JSON with camelCase names. Durations are milliseconds.
package wire

import (
	"encoding/json"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// The headers of requests and answers.
const (
	// HeaderRequestID identifies the request; a request that is sent again carries the same id.
	HeaderRequestID = "Eel-Request-Id"
	// HeaderAttempt is the number of the attempt, from 1; it increases by 1 after each attempt
	// that was answered with notRun.
	HeaderAttempt = "Eel-Attempt"
	// HeaderDeadline is the remaining time for the answer in milliseconds.
	HeaderDeadline = "Eel-Deadline-Millis"
	// HeaderRegion is the caller's region.
	HeaderRegion = "Eel-Region"
	// HeaderOutcome is the outcome of a request.
	HeaderOutcome = "Eel-Outcome"
	// HeaderClosed accompanies notRun if the claim of the attempt is closed, so that no copy
	// of the attempt can run, whichever entry it was sent to.
	HeaderClosed = "Eel-Closed"
	// HeaderReason is the reason why a request was not answered.
	HeaderReason = "Eel-Reason"
	// HeaderTryEntries lists the addresses of other entries, comma separated.
	HeaderTryEntries = "Eel-Try-Entries"
	// HeaderPolicy is the policy that steered the request.
	HeaderPolicy = "Eel-Policy"
	// HeaderTarget is the target that answered.
	HeaderTarget = "Eel-Target"
	// HeaderShed is set by a target that rejects a request without starting it.
	HeaderShed = "Eel-Shed"
	// HeaderLeader is the address of the leader of the state replicas.
	HeaderLeader = "Eel-Leader"
	// HeaderRetryAfterMillis is Retry-After in milliseconds.
	HeaderRetryAfterMillis = "Eel-Retry-After-Millis"
)

// The paths of the HTTP APIs.
const (
	PathEntries   = "/v1/entries"
	PathServices  = "/v1/services"
	PathAnnounce  = "/v1/announce"
	PathCatalogue = "/v1/catalogue"
	PathChanges   = "/v1/changes"
	PathStatus    = "/v1/status"
	PathReplicas  = "/v1/replicas"
	PathBurn      = "/v1/burn"
	PathVM        = "/v1/vm"
	PathHealth    = "/healthz"
)

// Outcome is the outcome of a request.
type Outcome string

// The outcomes.
const (
	// Answered means that the body is the complete answer of the target.
	Answered Outcome = "answered"
	// NotRun means that the request did not run and no copy of this attempt will.
	NotRun Outcome = "notRun"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Entries lists the entry VMs that a caller should use, best first.
type Entries struct {
	// TTLMillis is how long the list may be used.
	TTLMillis model.Millis `json:"ttlMillis"`
	Entries   []Entry      `json:"entries"`
}

// Entry is an entry VM in a list of entries.
type Entry struct {
	ID            model.VMID            `json:"id"`
	Addr          string                `json:"addr"`
	FailureDomain model.FailureDomainID `json:"failureDomain"`
	Region        model.RegionID        `json:"region"`
}

// TargetState is the state that a target announces.
type TargetState string

// The states of a target.
const (
	Starting TargetState = "starting"
	Ready    TargetState = "ready"
	Draining TargetState = "draining"
)

// Announcement is a periodic report of a target to an entry.
type Announcement struct {
	ID            model.TargetID        `json:"id"`
	Service       model.ServiceID       `json:"service"`
	FailureDomain model.FailureDomainID `json:"failureDomain"`
	Addr          string                `json:"addr"`
	// Slots is how many requests the target processes concurrently.
	Slots int `json:"slots"`
	// Connections is how many connections the target accepts.
	Connections int         `json:"connections"`
	State       TargetState `json:"state"`
	// InFlight is how many requests the target reports to be in progress.
	InFlight int `json:"inFlight"`
	// Incarnation increases with each start of the target.
	Incarnation uint64 `json:"incarnation"`
	// Sequence increases with each announcement of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Token is the token of the entry's last reply; it proves the age of the announcement.
	Token string `json:"token,omitempty"`
}

// Announced is the answer to an announcement.
type Announced struct {
	Token string `json:"token"`
	// AnnounceTo are the addresses of the entries to send the next announcements to.
	AnnounceTo []string `json:"announceTo"`
	// EveryMillis is the interval between two announcements.
	EveryMillis model.Millis `json:"everyMillis"`
	// DrainedMillis is the time that a draining target took to finish its requests; absent
	// until it has.
	DrainedMillis *model.Millis `json:"drainedMillis,omitempty"`
}

// Failure is the body of an error answer.
type Failure struct {
	Error   string  `json:"error"`
	Outcome Outcome `json:"outcome,omitempty"`
	Reason  string  `json:"reason,omitempty"`
	// RetryAfterMillis is the time after which to retry.
	RetryAfterMillis model.Millis `json:"retryAfterMillis,omitempty"`
	TryEntries       []string     `json:"tryEntries,omitempty"`
}

// Catalogue is the catalogue at a version.
type Catalogue struct {
	Version model.Version  `json:"version"`
	Objects []model.Object `json:"objects"`
}

// Change is an atomic change of the catalogue.
type Change struct {
	// ChangeID is the same when the change is sent again.
	ChangeID string `json:"changeId"`
	// BaseVersion is the catalogue version that the change is based on.
	BaseVersion model.Version  `json:"baseVersion"`
	Put         []model.Object `json:"put,omitempty"`
	// Remove lists objects as kind/name.
	Remove []string `json:"remove,omitempty"`
}

// ChangeResult is the result of a change. It is stored, so that a change that is sent again
// gets the same result.
type ChangeResult struct {
	ChangeID string `json:"changeId"`
	Accepted bool   `json:"accepted"`
	// Version is the version that the change created, or the one that it conflicted with.
	Version        model.Version `json:"version"`
	WinnerChangeID string        `json:"winnerChangeId,omitempty"`
	WinnerAuthor   model.OwnerID `json:"winnerAuthor,omitempty"`
}

// ReplicaChange adds, removes or replaces a state replica.
type ReplicaChange struct {
	Action string `json:"action"`
	ID     uint64 `json:"id"`
	Addr   string `json:"addr,omitempty"`
}

// VM is an entry VM as operators see it.
type VM struct {
	ID            model.VMID            `json:"id"`
	Addr          string                `json:"addr"`
	FailureDomain model.FailureDomainID `json:"failureDomain"`
	Leaving       bool                  `json:"leaving"`
	// Version is the catalogue version that the VM uses.
	Version model.Version `json:"version"`
}

// Status is the status of a replica as reported to operators.
type Status struct {
	Version model.Version   `json:"version"`
	Replica json.RawMessage `json:"replica"`
	VMs     []VM            `json:"vms,omitempty"`
	Targets json.RawMessage `json:"targets,omitempty"`
	// Workspaces are the workspaces that recently used any of their allowance.
	Workspaces []WorkspaceUse `json:"workspaces,omitempty"`
	Claims     int            `json:"claims"`
	ClaimBytes int64          `json:"claimBytes"`
	// Invalid are the objects of the catalogue that are not valid and left out.
	Invalid []InvalidObject `json:"invalid,omitempty"`
}

// InvalidObject is an object that is left out of the catalogue, and why.
type InvalidObject struct {
	// Object is its kind and name.
	Object string `json:"object"`
	// Version is the version of the catalogue that contained it first.
	Version model.Version `json:"version"`
	Error   string        `json:"error"`
}

// WorkspaceUse is how much of its allowance the callers of a workspace used.
type WorkspaceUse struct {
	Workspace model.WorkspaceID `json:"workspace"`
	// Used is the number of requests in the last window, Most the maximum number in one
	// window, and Credited the number that VMs may admit without asking the leader.
	Used     int `json:"used"`
	Most     int `json:"most"`
	Credited int `json:"credited"`
	// VMs is the number of VMs that used any of the allowance.
	VMs int `json:"vms"`
}
