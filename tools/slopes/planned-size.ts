/** The size that the fleet is planned for, and the limits on the cost of the control plane at that size. */
export const planned = {
	vms: 1100,
	dataCentres: 18,
	/** VMs of one data centre. */
	vmsPerDataCentre: 61,
	services: 37,
	targets: 10_000,
	teams: 4800,
	backloggedTeams: 480,
	requestsPerS: 160_000,
	tokensPerS: 41_000_000,
	configChangesPerDay: 36_000,
	/** Limits on the control plane of one VM: milliseconds of processor time a second, MB of memory, KB a second of network traffic. */
	controlCpuMsPerS: 23,
	controlMb: 128,
	controlKbPerS: 24,
	/** Row writes a second that the table service of the platform sustains; it is specified as "several hundred". */
	platformWritesPerS: 500,
	platformReadsPerS: 2000,
} as const;

/** Intervals of the control plane that the capacity page assumes for the current design, in milliseconds. */
export const controlIntervals = {
	heartbeatMs: 600,
	idleTickMs: 250,
	tickMs: 40,
	exchangeMs: 100,
	leaseRenewMs: 1000,
	loadPollMs: 500,
	configPollMs: 1000,
	/** Least time between two dispatch rounds of a pool with many members. */
	planGapMs: 5,
} as const;
