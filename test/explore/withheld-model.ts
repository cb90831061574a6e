/**
 * Model for `explore` of one target and one VM that reads its row in a store which comes back
 * from older copies. The target reports, announces that it leaves, leaves, starts again, and its
 * row expires while it runs. A VM that is frozen, or whose reads are refused, is one that does not read.
 */
import {type Model} from '../../src/core/explore/types.js';
import {type TargetRecord} from '../../src/core/routing/types.js';
import {RestoredTargets} from '../../src/core/store-watch/restored-targets.js';

export type WithheldAction =
	/** The target writes its row, or announces that it leaves, or leaves, or starts as a new process. */
	| 'report' | 'drain' | 'leave' | 'start'
	/** The row is removed because the store did not hear of the target. */
	| 'expire'
	| 'copy' | 'restore'
	/** The VM reads the whole table, or the changes since its last read, or concludes from a missing row that the target left. */
	| 'read' | 'feed' | 'conclude';

export type WithheldState = {readonly trace: readonly WithheldAction[]; readonly key: string; readonly violation: string | undefined};

const ID = 'target';
const STEP_MS = 300;
const MAX_RESTORES = 2;
const MAX_PROCESSES = 2;

/** Row of the target; `writtenEra` is the era in which the target wrote it, which no reader can see. */
type Row = {readonly bornMs: number; readonly sequence: number; readonly isDraining: boolean; readonly writtenEra: number};

const recordOf = ({bornMs, sequence, isDraining}: Row): TargetRecord => ({
	id: ID, service: 'model', address: '127.0.0.1:1', dataCentre: 'dc-a', version: 'v1', slots: 1, isDraining, coldRemainingMs: 0, sequence, bornMs,
});

const isSameState = (a: Row | undefined, b: Row | undefined): boolean => a?.bornMs === b?.bornMs && a?.isDraining === b?.isDraining;

class Deployment {
	readonly #targets = new RestoredTargets();
	#nowMs = 0;
	#restores = 0;
	#store = {era: 1, row: undefined as Row | undefined};
	#copy = this.#store;
	#process = {
		bornMs: 1, sequence: 0, isDraining: false, isAlive: true,
	};

	/** What the VM was last sent by the store, what it uses, and whether it waits to conclude that the target left. */
	#vm = {
		era: 1, hasRead: false, seen: undefined as Row | undefined, used: undefined as Row | undefined, isMissing: false,
		/** Last row that counted, and the era in which one counted or was missing; kept after the target has left. */
		accepted: undefined as Row | undefined, confirmedEra: 0,
	};

	/** What the VM last knew of the target before the era of its last read. */
	#before: {readonly bornMs: number; readonly isLeaving: boolean} | undefined;
	#violation: string | undefined;

	constructor() {
		this.apply('report');
		this.apply('read');
	}

	get violation(): string | undefined {
		return this.#violation;
	}

	actions(): readonly WithheldAction[] {
		const {isAlive, isDraining, bornMs} = this.#process;
		return [
			'read',
			'feed',
			...(isAlive ? ['report', 'leave'] as const : []),
			...(isAlive && !isDraining ? ['drain'] as const : []),
			...(!isAlive && bornMs < MAX_PROCESSES ? ['start'] as const : []),
			...(this.#store.row ? ['expire'] as const : []),
			...(this.#restores < MAX_RESTORES ? ['copy', 'restore'] as const : []),
			...(this.#vm.isMissing ? ['conclude'] as const : []),
		];
	}

	apply(action: WithheldAction): void {
		this.#nowMs += STEP_MS;
		switch (action) {
			case 'report': {
				this.#write();
				break;
			}

			case 'drain': {
				this.#process.isDraining = true;
				this.#write();
				break;
			}

			case 'leave': {
				this.#process.isAlive = false;
				this.#store = {...this.#store, row: undefined};
				break;
			}

			case 'start': {
				this.#process = {
					bornMs: this.#process.bornMs + 1, sequence: 0, isDraining: false, isAlive: true,
				};
				this.#write();
				break;
			}

			case 'expire': {
				this.#store = {...this.#store, row: undefined};
				break;
			}

			case 'copy': {
				this.#copy = this.#store;
				break;
			}

			case 'restore': {
				this.#restores++;
				this.#store = {era: this.#store.era + 1, row: this.#copy.row};
				break;
			}

			case 'read': {
				this.#read();
				break;
			}

			case 'feed': {
				this.#feed();
				break;
			}

			case 'conclude': {
				this.#conclude();
				break;
			}
		}
	}

	/** Lets a live target report and the VM read, without further faults; returns how the VM differs from the target. */
	settle(): string | undefined {
		const {isAlive, bornMs, isDraining} = this.#process;
		for (let round = 0; round < 2; round++) {
			this.apply('read');
			this.apply(isAlive ? 'report' : 'expire');
			this.apply('read');
			if (this.#vm.isMissing) {
				this.apply('conclude');
			}
		}

		const {used} = this.#vm;
		if (this.#violation) {
			return this.#violation;
		}

		if (!isAlive) {
			return used && 'a target that left is in use';
		}

		return isSameState(used, {
			bornMs, isDraining, sequence: 0, writtenEra: 0,
		})
			? undefined
			: 'a live target is withheld or known in an older state';
	}

	key(): string {
		return JSON.stringify([this.#store, this.#copy, this.#restores, this.#process, this.#vm, this.#before, this.#targets.hasWithheld]);
	}

	#write(): void {
		this.#process.sequence++;
		const {bornMs, sequence, isDraining} = this.#process;
		this.#store = {
			...this.#store, row: {
				bornMs, sequence, isDraining, writtenEra: this.#store.era,
			},
		};
	}

	/** Learns of the store's era as the client does, from any response. */
	#startEra(): void {
		if (this.#store.era === this.#vm.era) {
			return;
		}

		const {used, accepted} = this.#vm;
		this.#before = accepted && {bornMs: accepted.bornMs, isLeaving: used?.isDraining ?? true};
		this.#vm.era = this.#store.era;
		this.#vm.hasRead = false;
		this.#targets.startEra();
	}

	#read(): void {
		this.#startEra();
		this.#vm.hasRead = true;
		const {row} = this.#store;
		this.#targets.noteListed(new Set(row ? [ID] : []));
		this.#onRow(row);
	}

	/** A feed reports no change of the sequence number alone; in a new era the table is read whole. */
	#feed(): void {
		this.#startEra();
		const {row} = this.#store;
		if (!this.#vm.hasRead) {
			this.#read();
		} else if (!isSameState(row, this.#vm.seen)) {
			if (!row) {
				this.#targets.noteMissing(ID);
			}

			this.#onRow(row);
		}
	}

	#onRow(row: Row | undefined): void {
		this.#vm.seen = row;
		const isKnownInEra = this.#vm.confirmedEra === this.#vm.era;
		if (!row) {
			this.#vm.isMissing = this.#vm.used !== undefined;
			this.#vm.confirmedEra = this.#vm.era;
		} else if (this.#targets.accept(recordOf(row))) {
			this.#checkAccepted(row);
			this.#vm = {
				...this.#vm, used: row, accepted: row, confirmedEra: this.#vm.era, isMissing: false,
			};
		} else if (isKnownInEra) {
			this.#violation = 'a row is withheld that was written in the present era';
		}
	}

	/** A row of a copy says nothing of a process that the VM knew to leave, to have left or to have been replaced. */
	#checkAccepted(row: Row): void {
		const before = this.#before;
		if (before && row.writtenEra < this.#store.era && (row.bornMs < before.bornMs || (row.bornMs === before.bornMs && before.isLeaving && !row.isDraining))) {
			this.#violation = 'a row of an older copy counts against what the VM knew';
		}
	}

	#conclude(): void {
		this.#targets.noteGone(ID, this.#nowMs);
		this.#vm.used = undefined;
		this.#vm.isMissing = false;
	}
}

const replay = (trace: readonly WithheldAction[]): Deployment => {
	const deployment = new Deployment();
	for (const action of trace) {
		deployment.apply(action);
	}

	return deployment;
};

const stateOf = (trace: readonly WithheldAction[]): WithheldState => {
	const deployment = replay(trace);
	return {trace, key: deployment.key(), violation: deployment.violation ?? replay(trace).settle()};
};

export const withheldModel: Model<WithheldState, WithheldAction> = {
	initial: stateOf([]),
	actions: ({trace}) => replay(trace).actions(),
	apply: ({trace}, action) => stateOf([...trace, action]),
	findViolation: ({violation}) => violation,
	key: ({key}) => key,
};
