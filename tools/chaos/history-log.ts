/** Records what the injected faults did and when. */
import {type Interval} from '../load/intervals.js';
import {type Absence, type History} from './types.js';

export class HistoryLog {
	readonly #absences: Absence[] = [];
	readonly #unreachable: Interval[] = [];
	readonly #kills: number[] = [];
	readonly #stopCodes: Array<number | undefined> = [];
	#acceptedVersion = 1;

	get history(): History {
		return {
			absences: this.#absences, unreachable: this.#unreachable, kills: this.#kills,
			stopCodes: this.#stopCodes, acceptedVersion: this.#acceptedVersion,
		};
	}

	addAbsence(absence: Absence): void {
		this.#absences.push(absence);
	}

	addUnreachable(interval: Interval): void {
		this.#unreachable.push(interval);
	}

	addKill(atMs: number): void {
		this.#kills.push(atMs);
	}

	addStopCode(code: number | undefined): void {
		this.#stopCodes.push(code);
	}

	addAcceptedVersion(version: number): void {
		this.#acceptedVersion = Math.max(this.#acceptedVersion, version);
	}
}
