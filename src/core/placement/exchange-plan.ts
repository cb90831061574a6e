/**
 * Schedules the load reports between VMs. In a small fleet every report goes to every VM.
 * In a larger fleet, that traffic would grow with the square of the number of VMs, so each VM
 * reports to a few others in turn, at a rate that does not depend on the size of the fleet,
 * and treats the reports that it receives as a sample of the fleet.
 */

/** Most VMs of a fleet in which every report goes to every VM; a VM then handles at most about 125 reports per second. */
const MAX_FULL_MESH_VMS = 16;
/** Least milliseconds between the reports of a VM in a small fleet. */
const MIN_PERIOD_MS = 100;
/** Milliseconds between the reports of a VM in a small fleet, for each other VM. */
const PERIOD_MS_PER_PEER = 8;
/** Milliseconds for which a report is valid in a small fleet, so that a few reports may be lost. */
const VALID_MS = 1500;
/** Milliseconds between the reports of a VM in a large fleet. */
const SAMPLE_PERIOD_MS = 400;
/**
 * Milliseconds between the reports of a VM that has nothing new to tell. In a small fleet, two reports in a row may be
 * lost before one expires. In a large fleet, word of the store's last response has to reach every VM within the 4 s after
 * which the store counts as having been unavailable, with room for timers that are late.
 */
const REST_PERIOD_MS = 500;
const SAMPLE_REST_PERIOD_MS = 700;
/** Number of VMs that each report is sent to in a large fleet. On average, a VM sends and receives 20 reports per second, and 12 while the fleet is at rest. */
const SAMPLE_PEERS = 8;
/** Milliseconds for which a report is valid in a large fleet. The usage of teams is averaged over about the same time, in which a VM receives about a hundred reports. */
const SAMPLE_VALID_MS = 5000;

export type ExchangePlan = {
	/** Whether every report goes to every VM. */
	readonly isFullMesh: boolean;
	/** Milliseconds between two reports of a VM. */
	readonly periodMs: number;
	/** Milliseconds between two reports of a VM that has nothing new to tell. */
	readonly restPeriodMs: number;
	/** Number of VMs that each report is sent to. */
	readonly peersPerReport: number;
	/** Milliseconds for which a report is valid. */
	readonly validMs: number;
};

/**
 * Chooses the schedule of reports by the size of the fleet.
 *
 * @param others - Number of VMs besides this one.
 */
export const planExchange = (others: number): ExchangePlan => others < MAX_FULL_MESH_VMS
	? {
		isFullMesh: true, periodMs: Math.max(MIN_PERIOD_MS, PERIOD_MS_PER_PEER * others), restPeriodMs: REST_PERIOD_MS, peersPerReport: others, validMs: VALID_MS,
	}
	: {
		isFullMesh: false, periodMs: SAMPLE_PERIOD_MS, restPeriodMs: SAMPLE_REST_PERIOD_MS, peersPerReport: SAMPLE_PEERS, validMs: SAMPLE_VALID_MS,
	};

/**
 * Returns how many VMs a report stands for in a sample of the fleet. Within the time for which reports are valid, a VM
 * at rest is heard by fewer others than one that reports at the full rate.
 *
 * @param periodMs - Milliseconds between the sender's reports; 0 if it does not say.
 */
export const reportWeight = (periodMs: number, plan: ExchangePlan): number => plan.isFullMesh ? 1 : Math.max(1, Math.min(periodMs, plan.restPeriodMs) / plan.periodMs);

/**
 * Returns the peers that a report goes to, which rotate from report to report.
 *
 * @param first - Index of the first of these peers; indexes beyond the end of `peers` continue at its start.
 */
export const nextPeers = <Peer>(peers: readonly Peer[], first: number, {peersPerReport}: ExchangePlan): readonly Peer[] =>
	peersPerReport >= peers.length
		? peers
		: Array.from({length: peersPerReport}, (_, index) => peers[(first + index) % peers.length]!);
