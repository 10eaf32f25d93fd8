package share

import "time"

const (
	// loopInterval is the interval at which a node checks whether reports or grant
	// requests are due.
	loopInterval = time.Second
	// holdScanInterval is the interval at which the scanner of a group reads the holds
	// from the table. Every node does so every allNodesScanInterval, in case the scanner
	// has failed unnoticed.
	holdScanInterval     = 2 * time.Second
	allNodesScanInterval = time.Minute
	// archiveInterval is the interval at which a group's cells of a version are written
	// to the table, and those of other groups read.
	archiveInterval = time.Minute
	// callTimeout bounds a call to a peer or to the table.
	callTimeout = 2 * time.Second
	// maxSingleGroup is the number of nodes up to which all nodes are one group, whatever
	// their failure domains.
	maxSingleGroup = 64
	// In a group of up to maxSmallGroup members a node reports every
	// smallGroupReportInterval, in a larger one every largeGroupReportInterval, so that
	// the number of messages of a node does not grow with the group. A version that this
	// node has evidence against is reported every loopInterval.
	maxSmallGroup            = 16
	smallGroupReportInterval = time.Second
	largeGroupReportInterval = time.Minute
	// maxScanRows bounds the rows that one scan of the table returns.
	maxScanRows = 256
)
