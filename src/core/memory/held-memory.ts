/**
 * Accounts for the bytes that a VM buffers for its callers and targets, and decides when new
 * requests are refused and which responses are closed.
 *
 * Load pattern: hundreds of callers read a few bytes a second or nothing, and targets read
 * request bodies slowly. The VM's process is killed when it exceeds its memory. Each request
 * buffers little, since backpressure reaches its target, but all requests together can exceed
 * the memory.
 *
 * Above the first bound, new requests are refused, and responses whose callers have read nothing
 * for a second are closed, so that other callers are served. Above the second bound, the slowest
 * and largest responses are closed at once. A small response whose caller makes progress is never
 * closed, and neither is a request that has no unread response bytes. Where request bodies alone
 * exceed the first bound, only requests with large bodies are refused, so that a few large bodies
 * for a slow target do not block all other requests.
 */
import {
	type HeldPart, type MemoryBounds, type MemoryEffect, type MemoryMessage,
} from './types.js';

const BYTES_PER_MB = 1_000_000;
/**
 * Both bounds on buffered bytes, as shares of a VM's memory. The smallest VM has 210 MB, of which
 * a router without load uses 95 to 120 MB. Buffered bytes and the garbage that they cause take up
 * to 1.5 times their size.
 */
const REFUSE_SHARE = 0.12;
const SHED_SHARE = 0.2;
/** Memory of the smallest VM in MB, assumed where the settings state none. */
const DEFAULT_MEMORY_MB = 210;

/** Milliseconds without progress from which a caller counts as stalled. A lost packet is retransmitted sooner, so packet loss alone does not make a caller stalled. */
const STALLED_AFTER_MS = 1000;
/** Largest size of one read from a target, in bytes. A response with no more buffered bytes is small: it is not closed while its caller makes progress. */
const SMALL_BYTES = 65_536;
/** Least milliseconds between checks of all requests while the second bound is exceeded. The cost of a check grows with the number of requests. */
const CHECK_INTERVAL_MS = 25;
/** Share of the first bound down to which responses are closed, so that the next requests do not exceed the bound at once. */
const FREE_TO_SHARE = 0.75;

/** Returns the bounds for a VM with `memoryMb` MB of memory, or those of the smallest VM if the memory is unknown. */
export const memoryBounds = (memoryMb = DEFAULT_MEMORY_MB): MemoryBounds => ({
	refuseBytes: memoryMb * REFUSE_SHARE * BYTES_PER_MB,
	shedBytes: memoryMb * SHED_SHARE * BYTES_PER_MB,
});

/** Bytes that are buffered for one request. */
type HeldBytes = Readonly<Record<HeldPart, number>> & {
	/** When the caller last read or sent something, or when its first bytes were buffered. */
	readonly progressMs: number;
};

const NO_BYTES = {body: 0, collected: 0, unread: 0} as const;

const sizeOf = ({body, collected, unread}: HeldBytes): number => body + collected + unread;

/** Returns the buffered bytes of a request times its milliseconds without progress. The response with the highest product is closed first. */
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

	/** Buffered bytes of all requests by kind. */
	get totals(): Readonly<Record<HeldPart, number>> {
		return this.#totals;
	}

	/** Whether the first bound is exceeded. If so, responses of stalled callers are closed, and responses are forwarded at once instead of being collected, where that is possible. */
	get isUnderPressure(): boolean {
		return this.totalBytes > this.#bounds.refuseBytes;
	}

	/** Whether the second bound is exceeded. If so, the slowest and largest responses are closed at once. */
	get isAboveShedBound(): boolean {
		return this.totalBytes > this.#bounds.shedBytes;
	}

	/** Returns whether a request may be accepted or continued that has a body of `bodyBytes`, of which `moreBytes` are not buffered yet. */
	mayHold(bodyBytes: number, moreBytes = 0): boolean {
		const {refuseBytes, shedBytes} = this.#bounds;
		const {collected, unread} = this.#totals;
		const total = this.totalBytes + moreBytes;
		return total <= refuseBytes || (bodyBytes <= SMALL_BYTES && total <= shedBytes && collected + unread <= refuseBytes);
	}

	/** Handles one message and returns the responses to close. */
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

		// The time without progress starts when the caller first has bytes to read.
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

	/** Returns why a response may be closed now; undefined if it may not. */
	#closeReason(request: HeldBytes, nowMs: number): MemoryEffect['reason'] | undefined {
		if (request.unread === 0) {
			return undefined;
		}

		if (nowMs - request.progressMs >= STALLED_AFTER_MS) {
			return 'stalled';
		}

		return this.isAboveShedBound && sizeOf(request) > SMALL_BYTES ? 'bound' : undefined;
	}

	/** Closes the slowest and largest responses until the buffered bytes are a share of the first bound. */
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
				// A body that was sent to a target stays buffered until the target has ended the request.
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
