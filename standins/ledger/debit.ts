import * as z from 'zod';
import {JackdawwoodError} from '../../src/core/errors/jackdawwood-error.js';
import {StandinBodyInvalid} from '../shared/errors-data.js';

const debitSchema = z.looseObject({
	account: z.string().min(1),
	amount: z.number(),
	/** Caller's id of this debit. The ledger records it with each run but does not deduplicate by it. */
	debit_id: z.string().default(''),
	team: z.string().default(''),
	cost: z.number().positive().default(1),
});

export type Debit = {
	readonly account: string;
	readonly amount: number;
	readonly debitId: string;
	readonly team: string;
	readonly cost: number;
};

/** Parses a request body. Throws `StandinBodyInvalid` if it is not valid. */
export const parseDebit = (json: unknown): Debit => {
	const result = debitSchema.safeParse(json);
	if (!result.success) {
		throw new JackdawwoodError(StandinBodyInvalid, {fault: z.prettifyError(result.error)});
	}

	const {account, amount, debit_id: debitId, team, cost} = result.data;
	return {
		account, amount, debitId, team, cost,
	};
};
