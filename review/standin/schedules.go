package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

func init() { scenarios["schedules"] = schedules }

// schedules: consumers hand in jobs that run every minute for a month.
func schedules(e *env) (broken, ran bool) {
	e.fleet.behave = func(*run) plan { return plan{500 * time.Millisecond, "done"} }
	if !e.deploy(6, 0, 16) {
		return false, false
	}
	count := 8
	if e.trouble {
		count = 30 * 24 * 60
	}
	stop, killed := make(chan struct{}), make(chan int)
	go func() {
		n := 0
		for {
			select {
			case <-stop:
				killed <- n
				return
			case <-time.After(100 * time.Millisecond):
				n += e.enforceMemory()
			}
		}
	}()
	first := time.Now().Add(time.Hour).UnixMilli()
	for n := 0; n < 70 && time.Since(e.began) < 50*time.Second; n++ {
		e.submit(2, callerKey, jobID(0x2000+n), &jobSpec{Spec: "stock-recon", FirstRunMs: first, IntervalMs: 60000, RunCount: count, Steps: []stepSpec{{Count: 1, CPU: 1000, EstimateMs: 1000}}})
		time.Sleep(360 * time.Millisecond) // the usual rate of the site: 2.8 jobs a second
	}
	report := func() { e.logf("memory of the hosts in MB: %v", e.memory()) }
	report()
	broken = e.findLostJobs(e.submitShortJobs(max(55*time.Second, time.Since(e.began)+12*time.Second), report))
	close(stop)
	e.logf("hosts ended by the platform because of their memory: %d", <-killed)
	return broken, true
}

// memory returns the resident memory of each host.
func (e *env) memory() []int {
	var out []int
	for _, h := range e.processes() {
		data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
		kb := 0
		for _, line := range strings.Split(string(data), "\n") {
			if strings.HasPrefix(line, "VmRSS:") {
				_, _ = fmt.Sscanf(strings.TrimPrefix(line, "VmRSS:"), "%d", &kb)
			}
		}
		out = append(out, kb/1024)
	}
	return out
}

// enforceMemory kills the hosts that exceed MemoryMb, as the platform does, and starts them again. It returns how many there were.
func (e *env) enforceMemory() int {
	n := 0
	for i, mb := range e.memory() {
		if mb <= memoryMB {
			continue
		}
		n++
		e.logf("host %d uses %d MB, MemoryMb is %d: killed and started again", i+1, mb, memoryMB)
		h := e.processes()[i]
		_ = h.cmd.Process.Kill()
		<-h.exited
		ip := fmt.Sprintf("%s.%d", e.network, i+1)
		if err := e.startHost(i, ip, fmt.Sprintf("%s/settings-%d.json", e.dir, i+1)); err != nil {
			e.logf("host: %v", err)
		}
	}
	return n
}
