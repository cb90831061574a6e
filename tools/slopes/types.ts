/** Results of the slope trials: cost as a function of size, with a fitted line. */

export type Point = {
	/** Value of the varied quantity. */
	readonly size: number;
	/** Measured cost. */
	readonly value: number;
	/** Other figures of the same measurement, by name. */
	readonly extra?: Readonly<Record<string, number>>;
};

/** Least-squares line `fixed + slope * size`. */
export type Fit = {
	readonly fixed: number;
	readonly slope: number;
	/** Root mean square of the residuals over the mean of the values. */
	readonly residual: number;
};

export type Series = {
	readonly name: string;
	readonly title: string;
	/** Name of the varied quantity. */
	readonly variable: string;
	readonly unit: string;
	readonly points: readonly Point[];
	readonly fit: Fit;
};

export type SlopesResult = {
	readonly command: string;
	readonly seed: number;
	readonly node: string;
	readonly cpu: string;
	readonly cpus: number;
	/** One-minute load averages before and after the trials; they show the load of other processes on the machine. */
	readonly loadBefore: number;
	readonly loadAfter: number;
	readonly series: readonly Series[];
};

export type SlopesOptions = {
	readonly seed: number;
	/** File to which the result is written as JSON. */
	readonly json?: string | undefined;
	/** Prefixes of the names of the trials to run; all trials when empty. */
	readonly only?: readonly string[];
	/** Duration in seconds of each measured run of the link trials. */
	readonly seconds?: number;
	readonly log: (line: string) => void;
};
