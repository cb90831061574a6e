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
const REFUSE_PART = 0.12;
const SHED_PART = 0.2;
/** Memory of the smallest VM that is known of, in MB; assumed where settings name none. */
const DEFAULT_MEMORY_MB = 210;

/** Milliseconds without progress from which a caller counts as stalled: callers' networks repair a lost packet in less. */
const STALLED_MS = 1000;
/** Bytes that one read from a target brings at most; who holds no more and makes progress is never ended. */
const SMALL_BYTES = 65_536;
/** Milliseconds between looks at all holders while nothing can be ended, since each costs time by their number. */
const LOOK_AGAIN_MS = 25;
/** Part of the first bound down to which is freed, so that the next requests are not refused again at once. */
const FREE_TO_PART = 0.75;

/** Bounds for a VM's memory in MB; a fixed bound where it is unknown. */
export const memoryBounds = (memoryMb = DEFAULT_MEMORY_MB): MemoryBounds => ({
	refuseBytes: memoryMb * REFUSE_PART * BYTES_PER_MB,
	shedBytes: memoryMb * SHED_PART * BYTES_PER_MB,
});

type Holder = Readonly<Record<HeldPart, number>> & {
	/** When the caller last read or sent something, or began to hold. */
	readonly progressMs: number;
};

const NONE = {body: 0, collected: 0, unread: 0} as const;

const sizeOf = ({body, collected, unread}: Holder): number => body + collected + unread;

/** Higher goes first: bytes times the time without progress. */
const weightOf = (holder: Holder, nowMs: number): number => sizeOf(holder) * (nowMs - holder.progressMs);

export class HeldMemory {
	readonly #bounds: MemoryBounds;
	readonly #holders = new Map<number, Holder>();
	readonly #totals: Record<HeldPart, number> = {...NONE};
	#lookAgainMs = -Infinity;

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
				return this.isAboveShedBound && nowMs >= this.#lookAgainMs ? this.#shed(nowMs) : [];
			}

			case 'progress': {
				const holder = this.#holders.get(message.id);
				if (holder) {
					this.#holders.set(message.id, {...holder, progressMs: nowMs});
				}

				return [];
			}

			case 'gone': {
				this.#remove(message.id);
				return [];
			}

			case 'tick': {
				return this.isUnderPressure ? this.#shed(nowMs) : [];
			}
		}
	}

	#onHeld({id, part, bytes}: Extract<MemoryMessage, {kind: 'held'}>, nowMs: number): void {
		const holder = this.#holders.get(id) ?? {...NONE, progressMs: nowMs};
		this.#totals[part] += bytes - holder[part];
		const next = {...holder, [part]: bytes};
		if (sizeOf(next) === 0) {
			this.#holders.delete(id);
			return;
		}

		// The time without progress begins when the caller has something to read.
		const begins = part === 'unread' && holder.unread === 0;
		this.#holders.set(id, begins ? {...next, progressMs: nowMs} : next);
	}

	#remove(id: number): void {
		const holder = this.#holders.get(id);
		if (holder) {
			this.#holders.delete(id);
			this.#totals.body -= holder.body;
			this.#totals.collected -= holder.collected;
			this.#totals.unread -= holder.unread;
		}
	}

	/** Why a response may be ended now, if it may. */
	#reason(holder: Holder, nowMs: number): MemoryEffect['reason'] | undefined {
		if (holder.unread === 0) {
			return undefined;
		}

		if (nowMs - holder.progressMs >= STALLED_MS) {
			return 'stalled';
		}

		return this.isAboveShedBound && sizeOf(holder) > SMALL_BYTES ? 'bound' : undefined;
	}

	/** Ends the slowest and largest, down to a part of the first bound. */
	#shed(nowMs: number): readonly MemoryEffect[] {
		const ranked = [...this.#holders].toSorted(([, left], [, right]) => weightOf(right, nowMs) - weightOf(left, nowMs));
		const effects: MemoryEffect[] = [];
		for (const [id, holder] of ranked) {
			if (this.totalBytes <= this.#bounds.refuseBytes * FREE_TO_PART) {
				break;
			}

			const reason = this.#reason(holder, nowMs);
			if (reason) {
				effects.push({
					kind: 'end', id, reason, heldBytes: sizeOf(holder), idleMs: nowMs - holder.progressMs, totalBytes: this.totalBytes,
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

		this.#lookAgainMs = nowMs + LOOK_AGAIN_MS;
		return effects;
	}
}
