/** The slots that a member holds in one pool, by target. */
import {MemberSlots} from './member-slots.js';
import {type Allotment} from './messages.js';

export class SlotSet {
	readonly #slots = new Map<string, MemberSlots>();

	get idle(): number {
		let idle = 0;
		for (const slots of this.#slots.values()) {
			idle += slots.idle;
		}

		return idle;
	}

	all(): readonly MemberSlots[] {
		return [...this.#slots.values()];
	}

	of(target: string): MemberSlots {
		const known = this.#slots.get(target);
		if (known) {
			return known;
		}

		const slots = new MemberSlots(target);
		this.#slots.set(target, slots);
		return slots;
	}

	/** Records the granted slots. Their validity counts from `sentAtMs`, when the report that the allotment replies to was sent. */
	apply(allotment: Allotment, sentAtMs: number): void {
		const granted = new Set<string>();
		for (const grant of allotment.slots) {
			const leaseMs = grant.leaseMs > 0 ? Math.min(grant.leaseMs, allotment.leaseMs) : allotment.leaseMs;
			this.of(grant.target).apply(grant, sentAtMs + leaseMs);
			granted.add(grant.target);
		}

		for (const slots of this.#slots.values()) {
			if (!granted.has(slots.target)) {
				slots.renew(sentAtMs + allotment.leaseMs);
			}
		}
	}

	/** Releases the idle slots above the keep limits, and further idle ones until `spare` are released; returns the number released. */
	release(spare: number): number {
		let left = spare;
		let released = 0;
		for (const slots of this.#slots.values()) {
			const count = slots.release(Math.min(left, slots.idle));
			left = Math.max(0, left - count);
			released += count;
		}

		return released;
	}

	/** Resets the slots for a new join. */
	rejoin(): void {
		for (const slots of this.#slots.values()) {
			slots.rejoin();
		}
	}
}
