/** A target's report of its own load. It arrives with a delay, so it describes a past state. */
export type LoadReport = {
	readonly instance: string;
	readonly running: number;
	readonly waiting: number;
	readonly cold: boolean;
	readonly leaving: boolean;
};
