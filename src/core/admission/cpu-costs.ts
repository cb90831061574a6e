/**
 * Estimates what a VM's work costs in CPU time, from the total over short windows and from
 * counts: a regularised least-squares fit whose samples lose weight with age. Handles a
 * flood in which thousands of refused requests stand beside a few that are served.
 */

/** CPU time in milliseconds. */
export type CpuCosts = {
	/** Of one admitted request, up to the moment when it waits for its target. */
	readonly admittedMs: number;
	/** Of one refused request with its connection. */
	readonly refusedMs: number;
	/** Of one second of an open request: its events. */
	readonly openMs: number;
	/** Of one second of the process without requests. */
	readonly idleMs: number;
};

/** What happened in one window. */
export type CpuSample = {
	readonly admitted: number;
	readonly refused: number;
	/** Open requests times seconds. */
	readonly openS: number;
	readonly spanS: number;
	/** CPU time used, in milliseconds. */
	readonly usedMs: number;
};

/** Costs before anything was measured: of a router of this repository on an ordinary processor. */
const PRIOR: CpuCosts = {
	admittedMs: 2, refusedMs: 0.2, openMs: 1, idleMs: 30,
};
/** Weights of the prior costs, as sums of squares of counts: those of about a second of a busy VM. */
const PRIOR_WEIGHTS = [200, 400, 20, 0.3] as const;
/** Factor by which older samples lose weight with each sample: at ten a second half of the weight is on the last 3 s. */
const SAMPLE_DECAY = 0.98;
/** Costs stay within this factor of the prior ones, whatever is measured. */
const MAX_FACTOR = 8;
/** Seconds beyond which a window tells nothing: the process was stopped. */
const MAX_SPAN_S = 1;

type Row = readonly number[];

/** Solves a small symmetric positive system by elimination. */
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
	readonly add: (sample: CpuSample) => void;
	readonly costs: () => CpuCosts;
};

/** Starts with the costs of an ordinary processor. */
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
