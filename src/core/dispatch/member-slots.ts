/** The slots of one target that a member holds, and the results of its requests there. */
import {type GrantResult} from './types.js';
import {type SlotGrant, type TargetUse} from './messages.js';

export class MemberSlots {
	readonly target: string;
	/** Time, by the member's clock, from which on no request may start on these slots. */
	validUntilMs = 0;
	#granted = 0;
	#released = 0;
	#keep = 0;
	#running = 0;
	#answered = 0;
	#overloaded = 0;
	#failed = 0;
	#answerMsSum = 0;
	#instance = '';
	#hasSeparateLease = false;

	constructor(target: string) {
		this.target = target;
	}

	get held(): number {
		return this.#granted - this.#released;
	}

	get running(): number {
		return this.#running;
	}

	get idle(): number {
		return Math.max(0, this.held - this.#running);
	}

	get instance(): string {
		return this.#instance;
	}

	/** Returns the number of slots on which a request may start now. */
	usable(nowMs: number): number {
		return nowMs < this.validUntilMs ? Math.min(this.idle, Math.max(0, this.#keep - this.#running)) : 0;
	}

	/** Records a grant from an allotment. */
	apply(grant: SlotGrant, validUntilMs: number): void {
		this.#granted = Math.max(this.#granted, grant.granted);
		this.#keep = grant.keep;
		this.#hasSeparateLease = grant.leaseMs > 0;
		this.validUntilMs = Math.max(this.validUntilMs, validUntilMs);
	}

	/** Extends the validity of the slots after an allotment that does not list this target. */
	renew(validUntilMs: number): void {
		if (!this.#hasSeparateLease && this.#granted > 0) {
			this.validUntilMs = Math.max(this.validUntilMs, validUntilMs);
		}
	}

	start(): void {
		this.#running++;
	}

	end(result: GrantResult): void {
		this.#running--;
		if (result.instance !== undefined) {
			this.#instance = result.instance;
		}

		switch (result.kind) {
			case 'answered': {
				this.#answered++;
				this.#answerMsSum += result.answerMs;
				break;
			}

			case 'overloaded': {
				this.#overloaded++;
				break;
			}

			case 'failed': {
				this.#failed++;
				break;
			}

			case 'refused':
			case 'cancelled':
			case 'unsent': {
				break;
			}
		}
	}

	/** Releases idle slots: as many as exceed the keep limit, or `spare` if that is more. Returns the number released. */
	release(spare: number): number {
		const excess = Math.max(0, this.held - this.#keep);
		const count = Math.min(this.idle, Math.max(excess, spare));
		this.#released += count;
		return count;
	}

	/** Resets the counters for a new join. The dispatcher counts running requests as granted slots. */
	rejoin(): void {
		this.#granted = 0;
		this.#released = 0;
		this.#keep = 0;
		this.validUntilMs = 0;
	}

	use(): TargetUse {
		return {
			target: this.target,
			running: this.#running,
			released: this.#released,
			answered: this.#answered,
			overloaded: this.#overloaded,
			failed: this.#failed,
			answerMsSum: this.#answerMsSum,
			instance: this.#instance,
		};
	}
}
