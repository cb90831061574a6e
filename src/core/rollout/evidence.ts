/**
 * Counts what the requests of this VM show of the versions of a service, cumulatively since
 * the order, so that a lost report costs nothing and a new coordinator gets all.
 *
 * Not counted: refusals and requests that were not sent, since nothing ran; failures of a
 * target that leaves. A request that had no first part after its latency target when it was
 * given up counts by the time until then: to leave it out would hide a slow version.
 */
import {type GrantResult} from '../dispatch/types.js';
import {addCounts, noCounts} from './counts.js';
import {type ResponseCounts, type EvidenceReport, type RouteCounts} from './types.js';

/** Multiple of the latency target after which a response counts as late: with room for responses that queued a little, and below the 1.5 after which a silent call is given up. */
const LATE_FACTOR = 1.25;
/** Least time in milliseconds that is told apart; shorter ones are noise of timers. */
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
	/** Whether its time was counted before its end. */
	isTimed: boolean;
};

type OrderCounts = {
	order: number;
	to: string;
	readonly routes: Map<string, {before: ResponseCounts; next: ResponseCounts}>;
};

const logMs = (ms: number): number => Math.log(Math.max(MIN_TIME_MS, ms));

/** The counts that one ended request adds; undefined if it shows nothing. */
const countsOf = ({isCold, isTimed, targetLatencyMs, sentMs, firstMs, hasResponded}: OpenRequest, {kind, answerMs}: GrantResult, nowMs: number): ResponseCounts | undefined => {
	const endMs = answerMs > 0 ? answerMs : nowMs - sentMs;
	const firstPartMs = firstMs === undefined ? endMs : firstMs - sentMs;
	const times = (hasEnd: boolean): Partial<ResponseCounts> => isCold || isTimed
		? {}
		: {
			timed: 1, late: firstPartMs > targetLatencyMs * LATE_FACTOR ? 1 : 0, firstSum: logMs(firstPartMs), firstSquares: logMs(firstPartMs) ** 2,
			...(hasEnd && {ended: 1, endSum: logMs(endMs), endSquares: logMs(endMs) ** 2}),
		};
	const isSlow = firstMs === undefined && !hasResponded && endMs >= targetLatencyMs;
	switch (kind) {
		case 'answered': {
			return {...noCounts, complete: 1, ...times(true)};
		}

		case 'failed': {
			return isSlow ? {...noCounts, complete: 1, ...times(false)} : {...noCounts, failed: 1};
		}

		case 'cancelled': {
			return isSlow ? {...noCounts, ...times(false)} : undefined;
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

	/** Counts anew from an order on; the same order again changes nothing. */
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

	/** The target has begun to answer, if only with a failure. */
	noteAnswering(grantId: string): void {
		const open = this.#open.get(grantId);
		if (open) {
			open.hasResponded = true;
		}
	}

	/** @param isExcused - Whether a failure shows nothing of the version, since its target leaves. */
	noteEnd(grantId: string, result: GrantResult, isExcused: boolean, nowMs: number): void {
		const open = this.#open.get(grantId);
		this.#open.delete(grantId);
		const orderCounts = open && this.#countsByService.get(open.service);
		if (!orderCounts || (isExcused && result.kind === 'failed')) {
			return;
		}

		const counts = countsOf(open, result, nowMs);
		if (counts) {
			this.#add(orderCounts, open, counts);
		}
	}

	/** Requests that run at other versions than the one named. */
	runningAtOtherVersions(service: string, version: string): number {
		let running = 0;
		for (const open of this.#open.values()) {
			running += open.service === service && open.version !== version ? 1 : 0;
		}

		return running;
	}

	/** Everything counted since the order; undefined without one. */
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
		const route = orderCounts.routes.get(open.route) ?? {before: noCounts, next: noCounts};
		orderCounts.routes.set(open.route, route);
		if (open.version === orderCounts.to) {
			route.next = addCounts(route.next, counts);
		} else {
			route.before = addCounts(route.before, counts);
		}
	}

	/** A request that is late already counts by its time so far: its end would show it only seconds later. */
	#countOverdue(service: string, orderCounts: OrderCounts, nowMs: number): void {
		for (const open of this.#open.values()) {
			const {firstMs, isCold, isTimed, sentMs, targetLatencyMs} = open;
			const elapsedMs = nowMs - sentMs;
			if (open.service === service && firstMs === undefined && !isCold && !isTimed && elapsedMs > targetLatencyMs * LATE_FACTOR) {
				open.isTimed = true;
				this.#add(orderCounts, open, {
					...noCounts, timed: 1, late: 1, firstSum: logMs(elapsedMs), firstSquares: logMs(elapsedMs) ** 2,
				});
			}
		}
	}
}
