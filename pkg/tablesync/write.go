package tablesync

import (
	"slices"

	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// WriteOutcome says what became of a write whose answer was lost.
type WriteOutcome int

// Verdicts on a write.
const (
	// WriteAccepted means that the write took effect.
	WriteAccepted WriteOutcome = iota
	// WritePending means that the write has not taken effect and still may.
	// The same conditional write can be sent again.
	WritePending
	// WriteConflict means that another write came first, so that this one
	// never takes effect.
	WriteConflict
	// WriteUnknown means that too many writes came since to tell.
	WriteUnknown
)

// MaxWriteRecords is how many writes a head remembers.
const MaxWriteRecords = 64

// ResolveWrite says what became of a write that was made on a base version, from the
// head that was read afterwards.
func ResolveWrite(read *table.Head, base uint64, id string) WriteOutcome {
	switch {
	case slices.ContainsFunc(read.Writes, func(w table.WriteRecord) bool { return w.ID == id }):
		return WriteAccepted
	case read.Version <= base:
		return WritePending
	case read.Version-base > MaxWriteRecords:
		return WriteUnknown
	default:
		return WriteConflict
	}
}

// AppendWriteRecord returns the write records of a head with one more.
func AppendWriteRecord(records []table.WriteRecord, w table.WriteRecord) []table.WriteRecord {
	records = append(slices.Clone(records), w)
	return records[max(0, len(records)-MaxWriteRecords):]
}
