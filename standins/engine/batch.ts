/** Continuous batching: in each step every running generation makes progress on its prompt or gets its next token. */
import {type Clock} from '../../src/core/clock.js';
import {type EngineSettings} from './settings.js';

/** One generation in the batch. */
export type Generation = {
	/** Milliseconds that the prefill of the prompt still takes. */
	promptMs: number;
	generated: number;
	readonly tokens: number;
	/** Called after each new token, also after the last. */
	readonly onToken: () => void;
};

/** Injected faults that a batch reads at each step. */
export type StepFaults = {
	readonly slowFactor: number;
	readonly frozenUntilMs: number;
};

export class Batch {
	readonly #running = new Set<Generation>();
	#timer: NodeJS.Timeout | undefined;
	#dueMs = 0;

	readonly #cfg: EngineSettings;
	readonly #clock: Clock;
	readonly #stepFaults: () => StepFaults;

	constructor(cfg: EngineSettings, clock: Clock, stepFaults: () => StepFaults) {
		this.#cfg = cfg;
		this.#clock = clock;
		this.#stepFaults = stepFaults;
	}

	get size(): number {
		return this.#running.size;
	}

	add(generation: Generation): void {
		this.#running.add(generation);
		if (this.#timer === undefined) {
			this.#dueMs = this.#clock.nowMs();
			this.#schedule();
		}
	}

	remove(generation: Generation): void {
		this.#running.delete(generation);
	}

	clear(): void {
		this.#running.clear();
		clearTimeout(this.#timer);
		this.#timer = undefined;
	}

	#stepMs(): number {
		return this.#cfg.stepMs * (1 + (this.#cfg.stepGrowth * this.#running.size)) * this.#stepFaults().slowFactor;
	}

	#schedule(): void {
		const nowMs = this.#clock.nowMs();
		const stepMs = this.#stepMs();
		// After a late timer the next step is due earlier, by at most one step: the steps missed in a long stall are not made up for.
		this.#dueMs = Math.max(this.#dueMs + stepMs, nowMs - stepMs, this.#stepFaults().frozenUntilMs);
		this.#timer = setTimeout(() => {
			this.#step(stepMs);
		}, Math.max(0, this.#dueMs - nowMs));
	}

	#step(stepMs: number): void {
		this.#timer = undefined;
		if (this.#stepFaults().frozenUntilMs <= this.#clock.nowMs()) {
			for (const generation of this.#running) {
				this.#advance(generation, stepMs);
			}
		}

		if (this.#running.size > 0) {
			this.#schedule();
		}
	}

	#advance(generation: Generation, stepMs: number): void {
		if (generation.promptMs > 0) {
			generation.promptMs -= stepMs / this.#stepFaults().slowFactor;
			return;
		}

		generation.generated += 1;
		if (generation.generated >= generation.tokens) {
			this.#running.delete(generation);
		}

		generation.onToken();
	}
}
