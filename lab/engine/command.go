package engine

import (
	"time"

	"github.com/labstack/echo/v4"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// RankCommand is the settings of a rank that runs as a process of its own. The
// process of rank 0 is also the group's engine.
type RankCommand struct {
	Rank          int           `long:"rank" description:"Rank of this process."`
	Ranks         []string      `long:"rank-url" description:"Base URL of a rank, once for each rank in order."`
	ChecksFencing bool          `long:"checks-fencing" description:"Refuse orders with an old fencing number."`
	Layers        int           `long:"layers" default:"2" description:"Layers."`
	Experts       int           `long:"experts" default:"8" description:"Experts of a layer."`
	ExpertSlots   int           `long:"expert-slots" default:"4" description:"Experts of a layer that a rank can hold."`
	Picks         float64       `long:"picks" default:"512" description:"Expert picks of a step in one layer."`
	PickTime      time.Duration `long:"pick-time" default:"10us" description:"Time of one pick on a healthy rank."`
	LoadTime      time.Duration `long:"load-time" default:"20ms" description:"Time in which a rank loads one expert."`
	Zipf          float64       `long:"zipf" default:"1" description:"Exponent of the popularity."`
	Seed          uint64        `long:"seed" default:"1" description:"Seed of the popularity."`
	Drift         time.Duration `long:"drift" default:"0s" description:"Time in which two neighbours in the popularity change places. 0: none."`
	Slots         int           `long:"slots" default:"32" description:"Requests that run at once."`
	Step          time.Duration `long:"step" default:"2ms" description:"Time of a step beside the expert work."`
}

func (c *RankCommand) size() expertmap.Size {
	return expertmap.Size{Ranks: len(c.Ranks), Layers: c.Layers, Experts: c.Experts, Slots: c.ExpertSlots}
}

// Start returns what adds the routes of the process to an HTTP server.
func (c *RankCommand) Start() (func(*echo.Echo), error) {
	if err := c.size().Check(); err != nil {
		return nil, err
	}
	rank := NewRank(RankConfig{Size: c.size(), ChecksFencing: c.ChecksFencing, LoadTime: c.LoadTime, PickTime: c.PickTime}, c.Rank)
	if c.Rank != 0 {
		return rank.Register, nil
	}
	lockstep := NewLockstep(LockstepConfig{
		Size: c.size(), Ranks: c.Ranks, Picks: c.Picks, PickTime: c.PickTime, Zipf: c.Zipf, Seed: c.Seed, DriftInterval: c.Drift,
	})
	server := New(Config{Model: "draft", Slots: c.Slots, Step: c.Step, ColdSlowdown: 1, Lockstep: lockstep})
	go server.Run()
	return func(e *echo.Echo) {
		rank.Register(e)
		lockstep.Register(e)
		server.Register(e)
	}, nil
}
