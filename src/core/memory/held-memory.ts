/**
 * Accounts for the bytes that a VM holds for its callers and targets, and decides when new
 * requests are refused and which responses are ended.
 *
 * Load pattern: hundreds of callers that read a few bytes a second or nothing, targets that
 * read bodies slowly, on a VM whose process is killed when it exceeds its memory. Each holds
 * little, since backpressure reaches its target; all together hold more than there is.
 *
 * Above the first bound new requests are refused, and callers that have read nothing for a
 * second are ended, so that they do not shut out those that read. Above the second bound the
 * slowest and largest are ended at once. Small ones that make progress are never ended, nor are
 * requests whose body was sent to a target. Bodies alone refuse only requests with large
 * bodies, so that a few large ones at a slow target do not shut out all others.
 */
import {
	type HeldPart, type MemoryBounds, type MemoryEffect, type MemoryMessage,
} from './types.js';

const BYTES_PER_MB = 1_000_000;
/**
 * Parts of a VM's memory. A router with nothing to hold has 95 to 120 MB resident of the
 * smallest VM's 210 MB, and held bytes take up to 1.5 times as much with garbage.
 */
const REFUSE_SHARE = 0.12;
const SHED_SHARE = 0.2;
/** Memory of the smallest VM that is known of, in MB; assumed where settings name none. */
const DEFAULT_MEMORY_MB = 210;

/** Milliseconds without progress from which a caller counts as stalled: callers' networks repair a lost packet in less. */
const STALLED_AFTER_MS = 1000;
/** Bytes that one read from a target brings at most; who holds no more and makes progress is never ended. */
const SMALL_BYTES = 65_536;
/** Milliseconds between looks at all holders while nothing can be ended, since each costs time by their number. */
const CHECK_INTERVAL_MS = 25;
/** Part of the first bound down to which is freed, so that the next requests are not refused again at once. */
const FREE_TO_SHARE = 0.75;

/** Bounds for a VM's memory in MB; a fixed bound where it is unknown. */
export const memoryBounds = (memoryMb = DEFAULT_MEMORY_MB): MemoryBounds => ({
	refuseBytes: memoryMb * REFUSE_SHARE * BYTES_PER_MB,
	shedBytes: memoryMb * SHED_SHARE * BYTES_PER_MB,
});

type HeldBytes = Readonly<Record<HeldPart, number>> & {
	/** When the caller last read or sent something, or began to hold. */
	readonly progressMs: number;
};

const NO_BYTES = {body: 0, collected: 0, unread: 0} as const;

const sizeOf = ({body, collected, unread}: HeldBytes): number => body + collected + unread;

/** Higher goes first: bytes times the time without progress. */
const closePriority = (request: HeldBytes, nowMs: number): number => sizeOf(request) * (nowMs - request.progressMs);

export class HeldMemory {
	readonly #bounds: MemoryBounds;
	readonly #requests = new Map<number, HeldBytes>();
	readonly #totals: Record<HeldPart, number> = {...NO_BYTES};
	#nextCheckMs = -Infinity;

	constructor(bounds: MemoryBounds) {
		this.#bounds = bounds;
	}

	get totalBytes(): number {
		return this.#totals.body + this.#totals.collected + this.#totals.unread;
	}

	/** Bytes held by what they are held for. */
	get totals(): Readonly<Record<HeldPart, number>> {
		return this.#totals;
	}

	/** Whether memory is short: stalled callers are ended, and nothing is collected that can be passed on. */
	get isUnderPressure(): boolean {
		return this.totalBytes > this.#bounds.refuseBytes;
	}

	/** Whether the slowest and largest are ended at once. */
	get isAboveShedBound(): boolean {
		return this.totalBytes > this.#bounds.shedBytes;
	}

	/** Whether a request whose body has, or will have, so many bytes may go on, `moreBytes` of which are still to come. */
	mayHold(bodyBytes: number, moreBytes = 0): boolean {
		const {refuseBytes, shedBytes} = this.#bounds;
		const {collected, unread} = this.#totals;
		const total = this.totalBytes + moreBytes;
		return total <= refuseBytes || (bodyBytes <= SMALL_BYTES && total <= shedBytes && collected + unread <= refuseBytes);
	}

	handle(message: MemoryMessage, nowMs: number): readonly MemoryEffect[] {
		switch (message.kind) {
			case 'held': {
				this.#onHeld(message, nowMs);
				return this.isAboveShedBound && nowMs >= this.#nextCheckMs ? this.#closeResponses(nowMs) : [];
			}

			case 'progress': {
				const request = this.#requests.get(message.id);
				if (request) {
					this.#requests.set(message.id, {...request, progressMs: nowMs});
				}

				return [];
			}

			case 'gone': {
				this.#remove(message.id);
				return [];
			}

			case 'tick': {
				return this.isUnderPressure ? this.#closeResponses(nowMs) : [];
			}
		}
	}

	#onHeld({id, part, bytes}: Extract<MemoryMessage, {kind: 'held'}>, nowMs: number): void {
		const request = this.#requests.get(id) ?? {...NO_BYTES, progressMs: nowMs};
		this.#totals[part] += bytes - request[part];
		const next = {...request, [part]: bytes};
		if (sizeOf(next) === 0) {
			this.#requests.delete(id);
			return;
		}

		// The time without progress begins when the caller has something to read.
		const becomesUnread = part === 'unread' && request.unread === 0;
		this.#requests.set(id, becomesUnread ? {...next, progressMs: nowMs} : next);
	}

	#remove(id: number): void {
		const request = this.#requests.get(id);
		if (request) {
			this.#requests.delete(id);
			this.#totals.body -= request.body;
			this.#totals.collected -= request.collected;
			this.#totals.unread -= request.unread;
		}
	}

	/** Why a response may be ended now, if it may. */
	#closeReason(request: HeldBytes, nowMs: number): MemoryEffect['reason'] | undefined {
		if (request.unread === 0) {
			return undefined;
		}

		if (nowMs - request.progressMs >= STALLED_AFTER_MS) {
			return 'stalled';
		}

		return this.isAboveShedBound && sizeOf(request) > SMALL_BYTES ? 'bound' : undefined;
	}

	/** Ends the slowest and largest, down to a part of the first bound. */
	#closeResponses(nowMs: number): readonly MemoryEffect[] {
		const ranked = [...this.#requests].toSorted(([, left], [, right]) => closePriority(right, nowMs) - closePriority(left, nowMs));
		const effects: MemoryEffect[] = [];
		for (const [id, request] of ranked) {
			if (this.totalBytes <= this.#bounds.refuseBytes * FREE_TO_SHARE) {
				break;
			}

			const reason = this.#closeReason(request, nowMs);
			if (reason) {
				effects.push({
					kind: 'end', id, reason, heldBytes: sizeOf(request), idleMs: nowMs - request.progressMs, totalBytes: this.totalBytes,
				});
				// A body that was sent to a target stays until its run has ended.
				this.#onHeld({
					kind: 'held', id, part: 'unread', bytes: 0,
				}, nowMs);
				this.#onHeld({
					kind: 'held', id, part: 'collected', bytes: 0,
				}, nowMs);
			}
		}

		this.#nextCheckMs = nowMs + CHECK_INTERVAL_MS;
		return effects;
	}
}
