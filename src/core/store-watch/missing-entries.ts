/**
 * Decides when a target whose entry is missing from the store has left. An entry that expired
 * while the store was unavailable is written again by its target, which stays in use until then.
 *
 * Fault pattern: targets that leave soon after an outage of the store, and entries that expire in it.
 */
import {type MissingEntriesEffect, type MissingEntriesMessage} from './types.js';

export class MissingEntries {
	readonly #kept = new Set<string>();
	/** Returns the time from which a missing entry means that its target has left. */
	readonly #completeMs: () => number;

	constructor(completeMs: () => number) {
		this.#completeMs = completeMs;
	}

	handle(message: MissingEntriesMessage, nowMs: number): readonly MissingEntriesEffect[] {
		switch (message.kind) {
			case 'missing': {
				const completeMs = this.#completeMs();
				if (nowMs >= completeMs) {
					this.#kept.delete(message.id);
					return [{kind: 'left', id: message.id}];
				}

				const isNew = !this.#kept.has(message.id);
				this.#kept.add(message.id);
				return isNew ? [{kind: 'kept', id: message.id}, ...this.#wake(completeMs)] : [];
			}

			case 'present': {
				this.#kept.delete(message.id);
				return [];
			}

			case 'tick': {
				const completeMs = this.#completeMs();
				if (nowMs < completeMs) {
					return this.#kept.size === 0 ? [] : this.#wake(completeMs);
				}

				const left = [...this.#kept].map(id => ({kind: 'left', id} as const));
				this.#kept.clear();
				return left;
			}
		}
	}

	/** While the store does not serve this VM, the time is unknown; a tick follows when it serves it again. */
	#wake(completeMs: number): readonly MissingEntriesEffect[] {
		return Number.isFinite(completeMs) ? [{kind: 'wake', atMs: completeMs}] : [];
	}
}
