/**
 * Counts the work of this process and the processor time that it uses while it has no requests.
 * The counts of many VMs and periods tell the cost of a request from that of standing work, and
 * that of the first requests of a process from that of later ones.
 */
import {type LogFields} from './log.js';

export type WorkCounts = {
	readonly noteRequestStart: () => void;
	readonly noteRequestEnd: () => void;
	/** Records a part of a response that was read from a target. */
	readonly noteRead: () => void;
	readonly noteDatagramReceived: () => void;
	readonly noteDatagramSent: () => void;
	/** Attributes the processor time since the last call to standing work if the process had no request in that time. */
	readonly measure: (usedMs: number, nowMs: number) => void;
	/** Returns the counts since the last call, and the number of all requests of this process. */
	readonly take: () => LogFields;
};

const NO_WORK = {
	requests: 0, reads: 0, datagrams_in: 0, datagrams_out: 0, rest_used_ms: 0, rest_of_ms: 0,
};

/** Creates the counts of a process that has used `usedMs` of processor time. */
export const createWorkCounts = (usedMs: number, nowMs: number): WorkCounts => {
	let period = {...NO_WORK};
	let last = {usedMs, nowMs};
	let open = 0;
	let total = 0;
	let hadRequest = false;
	return {
		noteRequestStart() {
			period.requests++;
			total++;
			open++;
			hadRequest = true;
		},
		noteRequestEnd() {
			open--;
		},
		noteRead() {
			period.reads++;
		},
		noteDatagramReceived() {
			period.datagrams_in++;
		},
		noteDatagramSent() {
			period.datagrams_out++;
		},
		measure(used, now) {
			if (!hadRequest) {
				period.rest_used_ms += used - last.usedMs;
				period.rest_of_ms += now - last.nowMs;
			}

			hadRequest = open > 0;
			last = {usedMs: used, nowMs: now};
		},
		take() {
			const {rest_used_ms: restUsedMs, rest_of_ms: restOfMs, ...counts} = period;
			period = {...NO_WORK};
			return {
				...counts, rest_used_ms: Math.round(restUsedMs), rest_of_ms: Math.round(restOfMs), since_start_requests: total,
			};
		},
	};
};
