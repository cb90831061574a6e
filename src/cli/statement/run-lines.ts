/** Runs statements from a stream of lines, one per line. */

const COMMENT_PREFIX = '#';

/** Runs one statement; resolves to an exit code. */
export type RunStatement = (text: string) => Promise<number>;

/**
 * Runs each line until one ends with an exit code that is not in `continueCodes`, and
 * resolves to that code, else to the highest code. Empty lines and lines that start with
 * `#` are skipped.
 */
export const runLines = async (lines: AsyncIterable<string>, run: RunStatement, continueCodes: ReadonlySet<number>): Promise<number> => {
	let highestCode = 0;
	for await (const line of lines) {
		const text = line.trim();
		const code = text === '' || text.startsWith(COMMENT_PREFIX) ? 0 : await run(text);
		highestCode = Math.max(highestCode, code);
		if (!continueCodes.has(code)) {
			return code;
		}
	}

	return highestCode;
};
