package tablesync

import (
	"slices"

	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// Verdict says what became of a write whose answer was lost.
type Verdict int

// Verdicts on a write.
const (
	// VerdictAccepted means that the write took effect.
	VerdictAccepted Verdict = iota
	// VerdictPending means that the write has not taken effect and still may.
	// The same conditional write can be sent again.
	VerdictPending
	// VerdictConflict means that another write came first, so that this one
	// never takes effect.
	VerdictConflict
	// VerdictUnknown means that too many writes came since to tell.
	VerdictUnknown
)

// MaxWriteRecords is how many writes a head remembers.
const MaxWriteRecords = 64

// Judge says what became of a write that was made on a base version, from the
// head that was read afterwards.
func Judge(read *table.Head, base uint64, id string) Verdict {
	switch {
	case slices.ContainsFunc(read.Writes, func(w table.WriteRecord) bool { return w.ID == id }):
		return VerdictAccepted
	case read.Version <= base:
		return VerdictPending
	case read.Version-base > MaxWriteRecords:
		return VerdictUnknown
	default:
		return VerdictConflict
	}
}

// RecordWrite returns the write records of a head with one more.
func RecordWrite(records []table.WriteRecord, w table.WriteRecord) []table.WriteRecord {
	records = append(slices.Clone(records), w)
	return records[max(0, len(records)-MaxWriteRecords):]
}
