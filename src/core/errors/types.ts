/** Description of one kind of error, for people and for programs. */
export type ErrorData = {
	/** Stable identifier, in machine-readable bodies and metrics. */
	readonly name: string;
	/** One line without details. */
	readonly title: string;
	/** One line with the details of this occurrence. */
	readonly message: (details: Readonly<Record<string, string | number>>) => string;
	/** What an operator or caller can do about the error. */
	readonly hint: string;
};
