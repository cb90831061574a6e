/**
 * Counts, for each version of a service, the results of this VM's requests. The counts are
 * cumulative since the order, so the next report makes up for a lost one, and a new
 * coordinator receives all counts.
 *
 * Refusals and unsent requests are not counted, since nothing ran, and neither are failures
 * of a target that is leaving. A request that was cancelled after its latency target without
 * a first chunk is counted with the time until then: leaving it out would hide a slow version.
 */
import {type GrantResult} from '../dispatch/types.js';
import {addCounts, zeroCounts} from './counts.js';
import {type ResponseCounts, type EvidenceReport, type RouteCounts} from './types.js';

/** Multiple of the latency target after which a response counts as late. It leaves room for short queueing at the target, and is below the factor of 1.5 after which a call without a response is cancelled. */
const LATE_FACTOR = 1.25;
/** Times in milliseconds are raised to at least this, since shorter ones are timer noise. */
const MIN_TIME_MS = 2;

/** A request that was sent to a target. */
export type SentRequest = {
	readonly service: string;
	readonly route: string;
	readonly version: string;
	readonly isCold: boolean;
	readonly targetLatencyMs: number;
	readonly sentMs: number;
};

type OpenRequest = SentRequest & {
	firstMs: number | undefined;
	hasResponded: boolean;
	/** Whether its time was already counted before it ended. */
	isTimed: boolean;
};

type OrderCounts = {
	order: number;
	to: string;
	readonly routes: Map<string, {before: ResponseCounts; next: ResponseCounts}>;
};

const logMs = (ms: number): number => Math.log(Math.max(MIN_TIME_MS, ms));

/** Returns the counts that an ended request adds; undefined if it shows nothing about its version. */
const countsOf = ({isCold, isTimed, targetLatencyMs, sentMs, firstMs, hasResponded}: OpenRequest, {kind, answerMs}: GrantResult, nowMs: number): ResponseCounts | undefined => {
	const endMs = answerMs > 0 ? answerMs : nowMs - sentMs;
	const firstChunkMs = firstMs === undefined ? endMs : firstMs - sentMs;
	const times = (hasEnd: boolean): Partial<ResponseCounts> => isCold || isTimed
		? {}
		: {
			timed: 1, late: firstChunkMs > targetLatencyMs * LATE_FACTOR ? 1 : 0, firstSum: logMs(firstChunkMs), firstSquares: logMs(firstChunkMs) ** 2,
			...(hasEnd && {ended: 1, endSum: logMs(endMs), endSquares: logMs(endMs) ** 2}),
		};
	const isSlow = firstMs === undefined && !hasResponded && endMs >= targetLatencyMs;
	switch (kind) {
		case 'answered': {
			return {...zeroCounts, complete: 1, ...times(true)};
		}

		case 'failed': {
			return isSlow ? {...zeroCounts, complete: 1, ...times(false)} : {...zeroCounts, failed: 1};
		}

		case 'cancelled': {
			return isSlow ? {...zeroCounts, ...times(false)} : undefined;
		}

		case 'overloaded':
		case 'refused':
		case 'unsent': {
			return undefined;
		}
	}
};

export class EvidenceCounter {
	readonly #incarnation: string;
	readonly #open = new Map<string, OpenRequest>();
	readonly #countsByService = new Map<string, OrderCounts>();
	#sequence = 0;

	constructor(incarnation: string) {
		this.#incarnation = incarnation;
	}

	/** Resets the counts for a new order; does nothing for the order that is already counted. */
	startOrder(service: string, {version, to}: {readonly version: number; readonly to: string}): void {
		if (this.#countsByService.get(service)?.order !== version) {
			this.#countsByService.set(service, {order: version, to, routes: new Map()});
		}
	}

	noteSent(grantId: string, sent: SentRequest): void {
		this.#open.set(grantId, {
			...sent, firstMs: undefined, hasResponded: false, isTimed: false,
		});
	}

	noteFirstPart(grantId: string, nowMs: number): void {
		const open = this.#open.get(grantId);
		if (open) {
			open.firstMs ??= nowMs;
		}
	}

	/** Records that the target has begun to respond, if only with a failure. */
	noteAnswering(grantId: string): void {
		const open = this.#open.get(grantId);
		if (open) {
			open.hasResponded = true;
		}
	}

	/** @param isTargetLeaving - Whether a failure shows nothing about the version, since its target is leaving. */
	noteEnd(grantId: string, result: GrantResult, isTargetLeaving: boolean, nowMs: number): void {
		const open = this.#open.get(grantId);
		this.#open.delete(grantId);
		const orderCounts = open && this.#countsByService.get(open.service);
		if (!orderCounts || (isTargetLeaving && result.kind === 'failed')) {
			return;
		}

		const counts = countsOf(open, result, nowMs);
		if (counts) {
			this.#add(orderCounts, open, counts);
		}
	}

	/** Returns the number of requests that run at versions other than `version`. */
	runningAtOtherVersions(service: string, version: string): number {
		let running = 0;
		for (const open of this.#open.values()) {
			running += open.service === service && open.version !== version ? 1 : 0;
		}

		return running;
	}

	/** Returns everything counted since the order; undefined when there is no order. */
	report(service: string, revision: number, nowMs: number): EvidenceReport | undefined {
		const orderCounts = this.#countsByService.get(service);
		if (!orderCounts) {
			return undefined;
		}

		this.#countOverdue(service, orderCounts, nowMs);
		this.#sequence++;
		return {
			service, order: orderCounts.order, incarnation: this.#incarnation, sequence: this.#sequence, revision,
			runningBefore: this.runningAtOtherVersions(service, orderCounts.to),
			routes: [...orderCounts.routes].map(([route, counts]): RouteCounts => ({route, ...counts})),
		};
	}

	#add(orderCounts: OrderCounts, open: OpenRequest, counts: ResponseCounts): void {
		const route = orderCounts.routes.get(open.route) ?? {before: zeroCounts, next: zeroCounts};
		orderCounts.routes.set(open.route, route);
		if (open.version === orderCounts.to) {
			route.next = addCounts(route.next, counts);
		} else {
			route.before = addCounts(route.before, counts);
		}
	}

	/** Counts requests that are already late, with their time so far. Their ends would show the delay only seconds later. */
	#countOverdue(service: string, orderCounts: OrderCounts, nowMs: number): void {
		for (const open of this.#open.values()) {
			const {firstMs, isCold, isTimed, sentMs, targetLatencyMs} = open;
			const elapsedMs = nowMs - sentMs;
			if (open.service === service && firstMs === undefined && !isCold && !isTimed && elapsedMs > targetLatencyMs * LATE_FACTOR) {
				open.isTimed = true;
				this.#add(orderCounts, open, {
					...zeroCounts, timed: 1, late: 1, firstSum: logMs(elapsedMs), firstSquares: logMs(elapsedMs) ** 2,
				});
			}
		}
	}
}
