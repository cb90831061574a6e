/** The targets of one service, as news, answers and other VMs tell of them. */
import {type TargetRecord} from '../routing/types.js';
import {type TargetLoad} from './fleet-loads.js';
import {type LeavingTarget, type ObservedLoad, type PlacementMessage} from './messages.js';
import {TargetView, type DoubtTimes} from './target-view.js';

/** Milliseconds for which other VMs are told that a target leaves: some reports of a large fleet. */
const LEAVING_TOLD_MS = 3000;

/** What tells of targets. */
export type TargetNews = Extract<PlacementMessage, {
	kind: 'target' | 'target-gone' | 'data-centres-out' | 'observed-elsewhere' | 'leaving-elsewhere' | 'unreachable' | 'targets-current';
}>;

export class KnownTargets {
	readonly #targets = new Map<string, TargetView>();
	readonly #doubtTimes: () => DoubtTimes;
	#out: ReadonlySet<string> = new Set();
	#observedToldMs = -Infinity;

	constructor(doubtTimes: () => DoubtTimes) {
		this.#doubtTimes = doubtTimes;
	}

	get(id: string): TargetView | undefined {
		return this.#targets.get(id);
	}

	all(): readonly TargetView[] {
		return [...this.#targets.values()];
	}

	/** Targets that may get requests at all. */
	usable(): readonly TargetView[] {
		return this.all().filter(({record, isMisdirected, isLeaving}) => !record.isDraining && !isLeaving && !isMisdirected && !this.#out.has(record.dataCentre));
	}

	/** Whether a request may still be sent to a target; asked right before its first byte. */
	isOpen(id: string, nowMs: number): boolean {
		const target = this.#targets.get(id);
		return target !== undefined && !target.isLeaving && target.backOffMs(nowMs) === 0;
	}

	/** What this VM reports of its requests at each target. */
	loads(): readonly TargetLoad[] {
		return this.all().filter(({running}) => running > 0).map(({record, running, readingTokens, heldTokens}) => ({
			target: record.id, running, readingTokens, heldTokens,
		}));
	}

	/** What targets said of their load since the last call, for the report to the other VMs. */
	takeObservedLoads(nowMs: number): readonly ObservedLoad[] {
		const sinceMs = this.#observedToldMs;
		this.#observedToldMs = nowMs;
		return this.all().flatMap(target => {
			const load = target.loadSince(sinceMs);
			return load
				? {
					target: target.record.id, running: load.running, waiting: load.waiting, ageMs: nowMs - load.atMs,
					...(load.workPercent !== undefined && {workPercent: load.workPercent}),
				}
				: [];
		});
	}

	/** Targets whose answers have begun to say that they leave, for the report to the other VMs. */
	leavingTargets(nowMs: number): readonly LeavingTarget[] {
		return this.all().filter(target => target.hasBegunToLeave(LEAVING_TOLD_MS, nowMs)).map(({record}) => ({target: record.id, bornMs: record.bornMs}));
	}

	/** Takes in news; returns the targets that are gone or lost what they kept. */
	handle(message: TargetNews, nowMs: number): readonly string[] {
		switch (message.kind) {
			case 'target': {
				return this.#onTarget(message.target, nowMs) ? [message.target.id] : [];
			}

			case 'target-gone': {
				this.#targets.delete(message.id);
				return [message.id];
			}

			case 'data-centres-out': {
				this.#out = message.names;
				return [];
			}

			case 'observed-elsewhere': {
				for (const {target, ageMs, ...load} of message.loads) {
					this.get(target)?.noteLoad(load, nowMs - ageMs, false);
				}

				return [];
			}

			case 'leaving-elsewhere': {
				const target = this.get(message.leaving.target);
				if (target?.record.bornMs === message.leaving.bornMs) {
					target.noteLeaving(nowMs);
				}

				return [];
			}

			case 'unreachable': {
				this.get(message.target)?.noteUnreachable(nowMs);
				return [];
			}

			case 'targets-current': {
				for (const target of this.#targets.values()) {
					target.noteEntryRead(this.#doubtTimes(), nowMs);
				}

				return [];
			}
		}
	}

	/** Whether a target that was known is another process now. */
	#onTarget(record: TargetRecord, nowMs: number): boolean {
		const known = this.#targets.get(record.id);
		if (!known) {
			this.#targets.set(record.id, new TargetView(record, nowMs));
			return false;
		}

		if (known.update(record, nowMs)) {
			return true;
		}

		known.noteEntryRead(this.#doubtTimes(), nowMs);
		return false;
	}
}
