package batch

import "time"

// Wave asks for the maintenance of machines.
type Wave struct {
	ID               string
	Machines         []string
	TargetDuration   time.Duration // requested time within which all machines have had their maintenance
	MaxInMaintenance int           // most machines in maintenance at a time
}

// MachineState is what the provider of machines says of one.
type MachineState uint8

// States of machines.
const (
	MachineUp MachineState = iota + 1
	MachineMoving
	MachineInMaintenance
	MachineDown
)

// Machine is a machine that a worker runs on. A worker is one life of it.
type Machine struct {
	ID     string
	Pool   string // service of its workers
	State  MachineState
	Worker string // id of its present worker, or empty
}
