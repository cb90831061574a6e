import * as z from 'zod';
import {targetSettingsShape} from '../shared/target-settings.js';

/** Settings of the ledger stand-in. */
export const ledgerSettingsSchema = z.strictObject({
	...targetSettingsShape,
	/** Service time of a call of cost 1, in milliseconds. */
	serviceMs: z.number().nonnegative().default(40),
});

export type LedgerSettings = Readonly<z.output<typeof ledgerSettingsSchema>>;
