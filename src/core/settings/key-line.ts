/**
 * Finds the line of a key in a TOML file, for the report of an invalid value. The TOML library
 * states a position only for syntax errors.
 *
 * The scan records the last `[table]` header and the lines that start with `key =`. A key
 * inside an inline table or a list is reported at the line of the key that contains it. An
 * absent key is reported at the header of its table, or at line 1 if the table is absent too.
 */

const HEADER = /^\s*\[{1,2}\s*(?<name>[^\]]+?)\s*\]/v;
const ASSIGNMENT = /^\s*(?<name>[\w."\-]+(?:\s*\.\s*[\w"\-]+)*)\s*=/v;

const normalise = (key: string): string => key.replaceAll(/["'\s]/gv, '');

/** Maps each dotted key and table of the file to its first line, counting from 1. */
const linesOfKeys = (text: string): ReadonlyMap<string, number> => {
	const lines = new Map<string, number>();
	let table = '';
	for (const [index, line] of text.split('\n').entries()) {
		const header = HEADER.exec(line)?.groups?.name;
		const assigned = ASSIGNMENT.exec(line)?.groups?.name;
		if (header !== undefined) {
			table = normalise(header);
		}

		const key = assigned === undefined ? table : [table, normalise(assigned)].filter(Boolean).join('.');
		if ((header !== undefined || assigned !== undefined) && !lines.has(key)) {
			lines.set(key, index + 1);
		}
	}

	return lines;
};

/** Returns the line of the key, or of the nearest enclosing table that is present, counting from 1. */
export const keyLine = (text: string, path: readonly PropertyKey[]): number => {
	const lines = linesOfKeys(text);
	for (let {length} = path; length > 0; length--) {
		const line = lines.get(path.slice(0, length).map(String).join('.'));
		if (line !== undefined) {
			return line;
		}
	}

	return 1;
};
