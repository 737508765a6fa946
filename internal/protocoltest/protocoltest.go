// Package protocoltest provides jobs and machine types for the tests of several packages.
package protocoltest

import "daledyke/internal/protocol"

// Job returns an array job of four small tasks, changed by mod if it is not nil.
func Job(mod func(*protocol.JobSpec)) *protocol.JobSpec {
	s := &protocol.JobSpec{ID: "wk-1", Class: "batch", Team: "free", Shape: protocol.Array, Priority: "normal", Tasks: 4, Cores: 4, Accels: 1,
		RAM: 16, Image: "img", ImageGB: 10, EstimateS: 60}
	if mod != nil {
		mod(s)
	}
	return s
}

// Types returns a small and a large machine type.
func Types() map[string]protocol.MachineType {
	return map[string]protocol.MachineType{
		"small": {Name: "small", Cores: 8, Accels: 2, RAM: 64, CacheGB: 50, FetchRate: 1, Price: 2, SpotPrice: 0.5, BootS: 10, Zones: []string{"a", "b"}},
		"large": {Name: "large", Cores: 32, Accels: 8, RAM: 256, CacheGB: 50, FetchRate: 1, Price: 9, SpotPrice: 2, BootS: 20, Zones: []string{"a", "b"}},
	}
}
