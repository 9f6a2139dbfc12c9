package batch

import "time"

// Wave is a maintenance wave: a request to have the maintenance of a list of machines done.
type Wave struct {
	ID               string
	Machines         []string
	TargetDuration   time.Duration // requested time within which all machines have had their maintenance
	MaxInMaintenance int           // most machines in maintenance at a time
}

// MachineState is the state of a machine as the machine provider reports it.
type MachineState uint8

// States of machines.
const (
	MachineUp MachineState = iota + 1
	MachineMoving
	MachineInMaintenance
	MachineDown
)

// Machine is a machine that workers run on. A worker is one incarnation of its machine.
type Machine struct {
	ID     string
	Pool   string // service of its workers
	State  MachineState
	Worker string // id of its current worker, or empty
}
