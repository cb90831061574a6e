/** Messages to and from the process of a flood's callers: the plan of the requests, and the report of their outcomes. */
export type FloodPlan = {
	readonly port: number;
	readonly host: string;
	readonly durationMs: number;
	readonly teams: ReadonlyArray<{
		readonly key: string;
		readonly perS: number;
		readonly fromMs: number;
		readonly toMs: number;
		/** Share of the callers that reset their connection after sending their request. */
		readonly resetShare?: number;
	}>;
};

export type FloodReport = ReadonlyArray<{
	readonly key: string;
	/** Milliseconds from the start of the callers to this request. */
	readonly atMs: number;
	/** Status of the response; 0 if there was none, -1 if the caller reset its connection. */
	readonly status: number;
	readonly tookMs: number;
	/** Value of `Retry-After` in seconds. */
	readonly retryAfter: number | undefined;
}>;
