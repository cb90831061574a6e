/** Returns the processor time of this process in microseconds: all threads, user and system time. */
export const processorUs = (): number => {
	const {user, system} = process.cpuUsage();
	return user + system;
};

/** Adds up the processor time of the measured sections of a trial. */
export type CpuTimer = {
	readonly measure: <Result>(run: () => Result) => Result;
	readonly totalUs: () => number;
	readonly reset: () => void;
};

/** Creates a timer that starts at zero. */
export const createCpuTimer = (): CpuTimer => {
	let total = 0;
	return {
		measure(run) {
			const before = processorUs();
			const result = run();
			total += processorUs() - before;
			return result;
		},
		totalUs: () => total,
		reset() {
			total = 0;
		},
	};
};

const WARM_UP_RUNS = 20;

/** Returns the mean processor time of one call of `run` in microseconds, after a warm-up. */
export const meanUs = (runs: number, run: (index: number) => void): number => {
	for (let index = 0; index < Math.min(runs, WARM_UP_RUNS); index++) {
		run(index);
	}

	const before = processorUs();
	for (let index = 0; index < runs; index++) {
		run(index);
	}

	return (processorUs() - before) / runs;
};
