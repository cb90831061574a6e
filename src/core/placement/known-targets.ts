/** Tracks the targets of one service by their entries in the store, by their responses and by reports of other VMs. */
import {type TargetRecord} from '../routing/types.js';
import {type TargetLoad} from './fleet-loads.js';
import {type LeavingTarget, type ObservedLoad, type PlacementMessage} from './messages.js';
import {TargetView, type SuspectTimes} from './target-view.js';

/** Milliseconds for which this VM reports to other VMs that a target leaves. Even in a large fleet, a VM sends several reports in this time. */
const LEAVING_REPORT_MS = 3000;

/** Messages that change the state of targets. */
export type TargetUpdate = Extract<PlacementMessage, {
	kind: 'target' | 'target-gone' | 'data-centres-out' | 'observed-elsewhere' | 'leaving-elsewhere' | 'unreachable' | 'targets-current';
}>;

export class KnownTargets {
	readonly #targets = new Map<string, TargetView>();
	readonly #suspectTimes: () => SuspectTimes;
	#excludedDataCentres: ReadonlySet<string> = new Set();
	#loadsTakenMs = -Infinity;

	constructor(suspectTimes: () => SuspectTimes) {
		this.#suspectTimes = suspectTimes;
	}

	get(id: string): TargetView | undefined {
		return this.#targets.get(id);
	}

	all(): readonly TargetView[] {
		return [...this.#targets.values()];
	}

	/** Returns the targets that are not draining, leaving or misdirected and whose data centre is not excluded. */
	usable(): readonly TargetView[] {
		return this.all().filter(({record, isMisdirected, isLeaving}) => !record.isDraining && !isLeaving && !isMisdirected && !this.#excludedDataCentres.has(record.dataCentre));
	}

	/** Whether a request may still be sent to a target; checked right before its first byte is written. */
	isOpen(id: string, nowMs: number): boolean {
		const target = this.#targets.get(id);
		return target !== undefined && !target.isLeaving && target.backOffMs(nowMs) === 0;
	}

	/** Returns the unfinished requests of this VM at each target, for its load report. */
	loads(): readonly TargetLoad[] {
		return this.all().filter(({running}) => running > 0).map(({record, running, readingTokens, heldTokens}) => ({
			target: record.id, running, readingTokens, heldTokens,
		}));
	}

	/** Returns the load figures that targets sent to this VM since the last call, for its report to other VMs. */
	takeObservedLoads(nowMs: number): readonly ObservedLoad[] {
		const sinceMs = this.#loadsTakenMs;
		this.#loadsTakenMs = nowMs;
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

	/** Returns the targets whose responses recently announced that they leave, for the report to other VMs. */
	leavingTargets(nowMs: number): readonly LeavingTarget[] {
		return this.all().filter(target => target.beganToLeaveWithin(LEAVING_REPORT_MS, nowMs)).map(({record}) => ({target: record.id, bornMs: record.bornMs}));
	}

	/** Applies a message; returns the ids of targets that are gone or whose process was replaced by one with empty caches. */
	handle(message: TargetUpdate, nowMs: number): readonly string[] {
		switch (message.kind) {
			case 'target': {
				return this.#onTarget(message.target, nowMs) ? [message.target.id] : [];
			}

			case 'target-gone': {
				this.#targets.delete(message.id);
				return [message.id];
			}

			case 'data-centres-out': {
				this.#excludedDataCentres = message.names;
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
					target.noteEntryRead(this.#suspectTimes(), nowMs);
				}

				return [];
			}
		}
	}

	/** Applies a target's entry; returns whether another process has replaced that of a known target. */
	#onTarget(record: TargetRecord, nowMs: number): boolean {
		const known = this.#targets.get(record.id);
		if (!known) {
			this.#targets.set(record.id, new TargetView(record, nowMs));
			return false;
		}

		if (known.update(record, nowMs)) {
			return true;
		}

		known.noteEntryRead(this.#suspectTimes(), nowMs);
		return false;
	}
}
