/** What the process of a flood's callers is told and what it reports. */
export type FloodPlan = {
	readonly port: number;
	readonly host: string;
	readonly durationMs: number;
	readonly teams: ReadonlyArray<{
		readonly key: string;
		readonly perS: number;
		readonly fromMs: number;
		readonly toMs: number;
		/** Part of the callers that reset their connection after they sent their request. */
		readonly resetPart?: number;
	}>;
};

export type FloodReport = ReadonlyArray<{
	readonly key: string;
	/** Milliseconds from the start of the callers. */
	readonly atMs: number;
	/** 0 if there was no answer, -1 if the caller reset its connection. */
	readonly status: number;
	readonly tookMs: number;
	/** Seconds. */
	readonly retryAfter: number | undefined;
}>;
