package engine

import (
	"time"

	"github.com/labstack/echo/v4"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// RankCommand holds the settings of a rank that runs as a process of its own. The
// process of rank 0 is also the engine of the group.
type RankCommand struct {
	Rank          int           `long:"rank" description:"Rank of this process."`
	RankURLs      []string      `long:"rank-url" description:"Base URL of a rank, once for each rank in order."`
	ChecksFencing bool          `long:"checks-fencing" description:"Refuse orders with an old fencing token."`
	Layers        int           `long:"layers" default:"2" description:"Number of layers."`
	Experts       int           `long:"experts" default:"8" description:"Number of experts of a layer."`
	ExpertSlots   int           `long:"expert-slots" default:"4" description:"Number of experts of a layer that a rank can hold."`
	Picks         float64       `long:"picks" default:"512" description:"Expert selections of a step in one layer."`
	PickTime      time.Duration `long:"pick-time" default:"10us" description:"Time of one expert selection on a healthy rank."`
	LoadTime      time.Duration `long:"load-time" default:"20ms" description:"Time in which a rank loads one expert."`
	Zipf          float64       `long:"zipf" default:"1" description:"Exponent of the Zipf distribution of the popularity."`
	Seed          uint64        `long:"seed" default:"1" description:"Seed of the popularity."`
	DriftInterval time.Duration `long:"drift" default:"0s" description:"Mean interval at which two neighbours in the order of popularity are swapped. 0: never."`
	Slots         int           `long:"slots" default:"32" description:"Requests that run at once."`
	StepTime      time.Duration `long:"step" default:"2ms" description:"Time of a step without the expert work."`
}

func (c *RankCommand) size() expertmap.Size {
	return expertmap.Size{Ranks: len(c.RankURLs), Layers: c.Layers, Experts: c.Experts, Slots: c.ExpertSlots}
}

// Start starts the process and returns a function that adds its routes to an HTTP
// server.
func (c *RankCommand) Start() (func(*echo.Echo), error) {
	if err := c.size().Check(); err != nil {
		return nil, err
	}
	rank := NewRank(RankConfig{Size: c.size(), ChecksFencing: c.ChecksFencing, LoadTime: c.LoadTime, PickTime: c.PickTime}, c.Rank)
	if c.Rank != 0 {
		return rank.Register, nil
	}
	lockstep := NewLockstep(LockstepConfig{
		Size: c.size(), RankURLs: c.RankURLs, Picks: c.Picks, PickTime: c.PickTime, Zipf: c.Zipf, Seed: c.Seed, DriftInterval: c.DriftInterval,
	})
	server := New(Config{Model: "draft", Slots: c.Slots, StepTime: c.StepTime, ColdSlowdown: 1, Lockstep: lockstep})
	go server.Run()
	return func(e *echo.Echo) {
		rank.Register(e)
		lockstep.Register(e)
		server.Register(e)
	}, nil
}
