/** Cold start, overload and injected faults of a target; does no I/O. */
import {type TargetControl, type TargetSettings} from './target-settings.js';

/** Decision about a request on arrival. `fall-over`: the request exceeds the cold limit, and the process crashes. */
export type Admission = 'run' | 'overloaded' | 'fenced' | 'fall-over';

/** A fault that applies to a number of responses. */
type CountedFault = {readonly value: number; left: number};

/** Returns the value of the fault if it applies to the next response, and counts that response. */
const consume = (fault: CountedFault): number | undefined => {
	if (fault.left === 0) {
		return undefined;
	}

	fault.left -= 1;
	return fault.value;
};

const noFault = (): CountedFault => ({value: 0, left: 0});

export class TargetState {
	instance = '';
	cold = true;
	leaving = false;
	slowFactor = 1;
	frozenUntilMs = 0;
	running = 0;
	/** Requests beyond the cold limit whose callers could know that the target was cold. */
	coldViolations = 0;
	/** Requests beyond the cold limit whose callers could not yet know it. */
	coldViolationsUnwarned = 0;
	falls = 0;
	overloads = 0;
	fenced = 0;
	#answersSinceCold = 0;
	#instances = 0;
	#highestEpoch = 0;
	/** Time at which callers could first know that the target is cold; undefined if they cannot know it yet. */
	#coldKnownSinceMs: number | undefined;
	#maxRunning: number;
	#dropAfterTokens = noFault();
	#lateAnswerMs = noFault();
	#crossedAnswer = noFault();
	#loseAnswer = noFault();

	constructor(private readonly cfg: TargetSettings, private readonly name: string) {
		this.#maxRunning = cfg.maxRunning;
		this.cold = cfg.warmAfter > 0;
		this.#coldKnownSinceMs = Number.NEGATIVE_INFINITY;
		this.#nextInstance();
	}

	/** Decides about a request with the given fencing epoch (0 if it has none). */
	admit(epoch: number, nowMs: number): Admission {
		if (this.cfg.checksFencing && epoch < this.#highestEpoch) {
			this.fenced += 1;
			return 'fenced';
		}

		this.#highestEpoch = Math.max(this.#highestEpoch, epoch);
		if (this.cold && this.running >= this.cfg.coldLimit) {
			this.#countColdViolation(nowMs);
			return 'fall-over';
		}

		if (this.running >= this.#maxRunning) {
			this.overloads += 1;
			return 'overloaded';
		}

		this.running += 1;
		return 'run';
	}

	/** Records the end of an admitted request. */
	end(answered: boolean, nowMs: number): void {
		this.running -= 1;
		if (!answered || !this.cold) {
			return;
		}

		this.#coldKnownSinceMs ??= nowMs;
		this.#answersSinceCold += 1;
		this.cold = this.#answersSinceCold < this.cfg.warmAfter;
	}

	/** Records that a caller has read a load report with the present state. */
	recordLoadRead(nowMs: number): void {
		if (this.cold) {
			this.#coldKnownSinceMs ??= nowMs;
		}
	}

	/** Makes the target a new, cold instance without running requests. */
	restart(nowMs: number): void {
		this.running = 0;
		this.#nextInstance();
		this.turnCold(nowMs);
	}

	/** Makes the target cold. `knownSinceMs` is the time from which callers know it; undefined if they do not know it yet. */
	turnCold(knownSinceMs: number | undefined): void {
		this.cold = this.cfg.warmAfter > 0;
		this.#answersSinceCold = 0;
		this.#coldKnownSinceMs = knownSinceMs;
	}

	/** Injects the faults in a body of `/control`, except `restart`. */
	inject(control: TargetControl, nowMs: number): void {
		const left = control.count ?? 1;
		if (control.cold === true) {
			this.turnCold(undefined);
		} else if (control.cold === false) {
			this.cold = false;
		}

		this.leaving = control.leaving ?? this.leaving;
		this.slowFactor = control.slowFactor ?? this.slowFactor;
		this.#maxRunning = control.maxRunning ?? this.#maxRunning;
		this.frozenUntilMs = control.freezeMs === undefined ? this.frozenUntilMs : nowMs + control.freezeMs;
		this.#dropAfterTokens = control.dropAfterTokens === undefined ? this.#dropAfterTokens : {value: control.dropAfterTokens, left};
		this.#lateAnswerMs = control.lateAnswerMs === undefined ? this.#lateAnswerMs : {value: control.lateAnswerMs, left};
		this.#crossedAnswer = control.crossedAnswer ? {value: 1, left} : this.#crossedAnswer;
		this.#loseAnswer = control.loseAnswer ? {value: 1, left} : this.#loseAnswer;
	}

	/** Returns the tokens after which the connection of the stream that begins now is reset; undefined if it is not. */
	takeDropAfterTokens(): number | undefined {
		return consume(this.#dropAfterTokens);
	}

	/** Returns the delay of the next response in milliseconds. */
	takeLateAnswerMs(): number {
		return consume(this.#lateAnswerMs) ?? 0;
	}

	/** Whether the next response is replaced by the one to an earlier request. */
	takeCrossedAnswer(): boolean {
		return consume(this.#crossedAnswer) !== undefined;
	}

	/** Whether the next response is lost. */
	takeLoseAnswer(): boolean {
		return consume(this.#loseAnswer) !== undefined;
	}

	#countColdViolation(nowMs: number): void {
		const warned = this.#coldKnownSinceMs !== undefined && nowMs - this.#coldKnownSinceMs >= this.cfg.coldNoticeMs;
		if (warned) {
			this.coldViolations += 1;
		} else {
			this.coldViolationsUnwarned += 1;
		}

		this.falls += 1;
	}

	#nextInstance(): void {
		this.#instances += 1;
		this.instance = `${this.name}-${this.#instances}`;
	}
}
