import * as z from 'zod';
import {targetSettingsShape} from '../shared/target-settings.js';

/** Settings of the engine stand-in. */
export const engineSettingsSchema = z.strictObject({
	...targetSettingsShape,
	/** Milliseconds of one step with an empty batch; each step gives every request one token. */
	stepMs: z.number().positive().default(20),
	/** Share of `stepMs` by which each running request lengthens a step. */
	stepGrowth: z.number().nonnegative().default(0.02),
	/** Milliseconds that the prefill of one uncached prompt token takes. */
	promptTokenMs: z.number().nonnegative().default(0.5),
	/** Most prefixes of 16, 32, ... tokens in the cache. */
	cacheBlocks: z.number().int().positive().default(512),
	/** Milliseconds for which a stream without a reader continues, or a finished one can be resumed. */
	streamKeepMs: z.number().nonnegative().default(5000),
});

export type EngineSettings = Readonly<z.output<typeof engineSettingsSchema>>;
