/** Runs queries over the whole fleet. */
import * as z from 'zod';
import {JackdawwoodError} from '../../core/errors/jackdawwood-error.js';
import {evaluateQuery, type Row} from '../../core/language/evaluate-query.js';
import {mergeRows} from '../../core/language/merge-rows.js';
import {parseStatement} from '../../core/language/parse-statement.js';
import {NotAQuery} from './admin-errors-data.js';
import {type AdminOptions, type MissingPart} from './types.js';

export const queryBody = z.object({text: z.string()});

export type QueryResponse = {
	readonly table: string;
	readonly columns: readonly string[];
	readonly rows: readonly Row[];
	readonly missing: readonly MissingPart[];
};

/** Runs a query. Throws the fault of the statement, or `NotAQuery` for a command. */
export const runQuery = async ({text}: z.output<typeof queryBody>, {readTable}: Pick<AdminOptions, 'readTable'>): Promise<QueryResponse> => {
	const {statement, fault} = parseStatement(text);
	if (!statement) {
		throw fault;
	}

	if (statement.kind !== 'query') {
		throw new JackdawwoodError(NotAQuery, {text});
	}

	const {rows, missing} = await readTable(statement.table);
	return {table: statement.table, ...evaluateQuery(statement, mergeRows(statement.table, rows)), missing};
};
