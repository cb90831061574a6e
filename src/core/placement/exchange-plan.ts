/**
 * How VMs tell each other of their loads. In a small fleet every report goes to every VM.
 * In a larger one that would grow with the square of the fleet, so each VM reports to a few
 * others in turn, at a rate that does not depend on the size, and what is heard is taken as
 * a sample of the whole.
 */

/** VMs up to which every report goes to every VM; a VM then handles at most some 125 reports a second. */
const WHOLE_VMS = 16;
/** Milliseconds between reports in a small fleet, and how much longer for each other VM. */
const MIN_PERIOD_MS = 100;
const PERIOD_MS_PER_VM = 8;
/** Milliseconds for which a report counts; a few may be lost on the way. */
const VALID_MS = 1500;
/** Milliseconds between rounds of a large fleet, and the VMs that each one reaches: 20 reports a second in and out. */
const SAMPLE_PERIOD_MS = 400;
const SAMPLE_PEERS = 8;
/** Milliseconds for which a report of a large fleet counts: what teams receive is averaged over about as long, and some hundred reports arrive in it. */
const SAMPLE_VALID_MS = 5000;

export type ExchangePlan = {
	/** Whether every report reaches every VM. */
	readonly isFullMesh: boolean;
	/** Milliseconds from one report to the next. */
	readonly periodMs: number;
	/** VMs that get one report. */
	readonly peersPerRound: number;
	/** Milliseconds for which a report counts. */
	readonly validMs: number;
};

/** @param others - VMs besides this one. */
export const planExchange = (others: number): ExchangePlan => others < WHOLE_VMS
	? {
		isFullMesh: true, periodMs: Math.max(MIN_PERIOD_MS, PERIOD_MS_PER_VM * others), peersPerRound: others, validMs: VALID_MS,
	}
	: {
		isFullMesh: false, periodMs: SAMPLE_PERIOD_MS, peersPerRound: SAMPLE_PEERS, validMs: SAMPLE_VALID_MS,
	};

/** The peers that get the report of a round: each one in its turn. */
export const peersOfRound = <Peer>(peers: readonly Peer[], first: number, {peersPerRound}: ExchangePlan): readonly Peer[] =>
	peersPerRound >= peers.length
		? peers
		: Array.from({length: peersPerRound}, (_, index) => peers[(first + index) % peers.length]!);
