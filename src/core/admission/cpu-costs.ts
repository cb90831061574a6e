/**
 * Estimates the CPU time of each kind of work of a VM, from the total CPU time used in short
 * windows and the counts of work in them. The estimate is a regularised least-squares fit with
 * exponentially decayed samples. It has to hold also while the VM refuses thousands of requests
 * and serves a few.
 */

/** CPU time of each kind of work, in milliseconds. */
export type CpuCosts = {
	/** Cost of one admitted request until the VM waits for its target. */
	readonly admittedMs: number;
	/** Cost of one refused request, including its connection. */
	readonly refusedMs: number;
	/** Cost of the events of one open request in one second. */
	readonly openMs: number;
	/** Cost of the process in one second without requests. */
	readonly idleMs: number;
};

/** Work done and CPU time used in one window. */
export type CpuSample = {
	readonly admitted: number;
	readonly refused: number;
	/** Number of open requests, integrated over the window's seconds. */
	readonly openS: number;
	/** Length of the window in seconds. */
	readonly spanS: number;
	/** CPU time used, in milliseconds. */
	readonly usedMs: number;
};

/** Costs assumed before the first sample: those of this router on an ordinary processor. */
const PRIOR: CpuCosts = {
	admittedMs: 2, refusedMs: 0.2, openMs: 1, idleMs: 30,
};
/** Weights of the prior costs, in the order of `CpuCosts`. Each is the sum of squared counts that a busy VM collects in about a second. */
const PRIOR_WEIGHTS = [200, 400, 20, 0.3] as const;
/** Factor by which each new sample multiplies the weight of older samples. At ten samples a second, half of the weight is on the last 3 s. */
const SAMPLE_DECAY = 0.98;
/** Largest factor between an estimated cost and its prior. */
const MAX_FACTOR = 8;
/** Length in seconds above which a window is ignored, because the process was paused in it. */
const MAX_SPAN_S = 1;

type Row = readonly number[];

/** Solves a small symmetric positive definite system of equations by Gaussian elimination. */
const solve = (matrix: readonly Row[], values: Row): Row => {
	const rows = matrix.map((row, index) => [...row, values[index] ?? 0]);
	const at = (row: number, column: number): number => rows[row]?.[column] ?? 0;
	const size = rows.length;
	for (let pivot = 0; pivot < size; pivot++) {
		for (let row = pivot + 1; row < size; row++) {
			const factor = at(row, pivot) / at(pivot, pivot);
			rows[row] = (rows[row] ?? []).map((value, column) => value - (factor * at(pivot, column)));
		}
	}

	const solution: number[] = Array.from({length: size}, () => 0);
	for (let row = size - 1; row >= 0; row--) {
		let rest = at(row, size);
		for (let column = row + 1; column < size; column++) {
			rest -= at(row, column) * (solution[column] ?? 0);
		}

		solution[row] = rest / at(row, row);
	}

	return solution;
};

export type CpuCostFit = {
	/** Adds a sample and updates the costs. */
	readonly add: (sample: CpuSample) => void;
	/** Returns the estimated costs. */
	readonly costs: () => CpuCosts;
};

/** Creates a fit that returns the prior costs until samples are added. */
export const createCpuCostFit = (): CpuCostFit => {
	const prior: Row = [PRIOR.admittedMs, PRIOR.refusedMs, PRIOR.openMs, PRIOR.idleMs];
	let products: readonly Row[] = prior.map(() => prior.map(() => 0));
	let results: Row = prior.map(() => 0);
	let costs: Row = prior;

	const fit = (): void => {
		const matrix = products.map((row, index) => row.map((value, column) => column === index ? value + (PRIOR_WEIGHTS[index] ?? 1) : value));
		const solution = solve(matrix, results.map((value, index) => value + ((PRIOR_WEIGHTS[index] ?? 1) * (prior[index] ?? 0))));
		costs = solution.map((cost, index) => {
			const priorCost = prior[index] ?? 0;
			return Math.min(priorCost * MAX_FACTOR, Math.max(priorCost / MAX_FACTOR, cost));
		});
	};

	return {
		add({admitted, refused, openS, spanS, usedMs}) {
			if (spanS <= 0 || spanS > MAX_SPAN_S) {
				return;
			}

			const sample: Row = [admitted, refused, openS, spanS];
			products = products.map((row, index) => row.map((value, column) => (value * SAMPLE_DECAY) + ((sample[index] ?? 0) * (sample[column] ?? 0))));
			results = results.map((value, index) => (value * SAMPLE_DECAY) + ((sample[index] ?? 0) * usedMs));
			fit();
		},
		costs() {
			const [admittedMs = 0, refusedMs = 0, openMs = 0, idleMs = 0] = costs;
			return {
				admittedMs, refusedMs, openMs, idleMs,
			};
		},
	};
};
