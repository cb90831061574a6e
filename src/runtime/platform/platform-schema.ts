/** Schemas of the platform's responses. */
import * as z from 'zod';

const row = z.object({key: z.string(), value: z.json(), revision: z.number().int()});

export const rowResponse = row;
export const rowsResponse = z.object({rows: z.array(row)});
export const transactionResponse = z.object({rows: z.array(z.object({key: z.string(), revision: z.number().int()}))});
export const conflictResponse = z.object({
	conflicts: z.array(z.object({
		key: z.string(),
		value: z.json().nullish().transform(value => value ?? undefined),
		revision: z.number().int().nullish().transform(revision => revision ?? undefined),
	})),
});

export const vmsResponse = z.object({
	vms: z.array(z.object({
		id: z.string(),
		data_centre: z.string(),
		control: z.string(),
		admin: z.string(),
		state: z.enum(['live', 'leaving']),
		started_ms: z.number(),
	})),
});
