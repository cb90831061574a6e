/** The size that the fleet is planned for, and what control may cost there. */
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
	/** Control of one VM: milliseconds of processor time a second, MB, KB a second. */
	controlCpuMsPerS: 23,
	controlMb: 128,
	controlKbPerS: 24,
	/** Row writes a second that the platform's table service bears; "several hundred". */
	platformWritesPerS: 500,
	platformReadsPerS: 2000,
} as const;

/** Timing in force today, in milliseconds. */
export const defaultTiming = {
	heartbeatMs: 600,
	idleTickMs: 250,
	tickMs: 40,
	exchangeMs: 100,
	leaseRenewMs: 1000,
	loadPollMs: 500,
	configPollMs: 1000,
	planGapMs: 5,
} as const;
