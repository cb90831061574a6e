/** Description of one kind of error, for people and for programs. */
export type ErrorData = {
	/** Stable identifier, which response bodies and metrics contain. */
	readonly name: string;
	/** One line that describes the kind of error, without the details of an occurrence. */
	readonly title: string;
	/** Returns one line that describes one occurrence, with its details. */
	readonly message: (details: Readonly<Record<string, string | number>>) => string;
	/** What an operator or caller can do about the error. */
	readonly hint: string;
};
