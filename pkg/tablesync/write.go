package tablesync

import (
	"slices"

	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// WriteOutcome is the outcome of a write whose response was lost.
type WriteOutcome int

// Outcomes of a write.
const (
	// WriteAccepted means that the write took effect.
	WriteAccepted WriteOutcome = iota
	// WritePending means that the write has not taken effect, but still may. The
	// same conditional write can be sent again.
	WritePending
	// WriteConflict means that another write took effect first, so that this one
	// never will.
	WriteConflict
	// WriteUnknown means that the outcome can't be determined, because more than
	// MaxWriteRecords writes took effect since.
	WriteUnknown
)

// MaxWriteRecords is the number of latest writes that a head records.
const MaxWriteRecords = 64

// ResolveWrite returns the outcome of the write with an ID that was made on a base
// version, from the head that was read afterwards.
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

// AppendWriteRecord returns a head's write records with one more, without those
// beyond MaxWriteRecords.
func AppendWriteRecord(records []table.WriteRecord, w table.WriteRecord) []table.WriteRecord {
	records = append(slices.Clone(records), w)
	return records[max(0, len(records)-MaxWriteRecords):]
}
