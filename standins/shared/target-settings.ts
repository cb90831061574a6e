/** Settings that the engine and the ledger share. */
import * as z from 'zod';

export const targetSettingsShape = {
	port: z.number().int().min(0).max(65_535).default(0),
	/** Requests that a cold target sustains at once; one more makes the process crash. */
	coldLimit: z.number().int().positive().default(1),
	/** Complete responses after which a cold target is warm. */
	warmAfter: z.number().int().nonnegative().default(4),
	/** Most requests that run at once; more are refused with 503. */
	maxRunning: z.number().int().positive().default(8),
	/** Age of the report that `GET /load` returns, in milliseconds. */
	loadLagMs: z.number().nonnegative().default(500),
	/** Milliseconds after callers could first know that the target is cold within which a cold violation still counts as unwarned. */
	coldNoticeMs: z.number().nonnegative().default(300),
	/** Whether to refuse requests with a lower fencing epoch than the highest one received. */
	checksFencing: z.boolean().default(false),
};

const schema = z.strictObject(targetSettingsShape);
export type TargetSettings = Readonly<z.output<typeof schema>>;

/** Faults that `POST /control` of a target injects. */
export const targetControlSchema = z.strictObject({
	/** Makes the target cold without any notice to callers, or warm. */
	cold: z.boolean(),
	/** Closes all connections and restarts the target as a new, cold instance. */
	restart: z.boolean(),
	leaving: z.boolean(),
	/** Milliseconds for which the target does no work. */
	freezeMs: z.number().nonnegative(),
	/** Factor by which all processing times grow. */
	slowFactor: z.number().positive(),
	/** Tokens after which the connections of the next streams are reset. */
	dropAfterTokens: z.number().int().nonnegative(),
	/** Number of responses, or streams, to which the counted faults apply; 1 if absent. */
	count: z.number().int().positive(),
	/** Milliseconds by which the next responses are delayed. */
	lateAnswerMs: z.number().nonnegative(),
	/** Sends the responses of an earlier request to the next requests. */
	crossedAnswer: z.boolean(),
	/** Loses the next responses: the work is done, but the connection is reset. */
	loseAnswer: z.boolean(),
	maxRunning: z.number().int().positive(),
}).partial();

export type TargetControl = Readonly<z.output<typeof targetControlSchema>>;
