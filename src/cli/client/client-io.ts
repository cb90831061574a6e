/** Functions and values of the surrounding process that the client's commands use. */
export type ClientIo = {
	readonly env: Readonly<Record<string, string | undefined>>;
	/** Reads the lines of standard input. At a terminal, `prompt` is shown before each line. */
	readonly lines: (prompt?: string) => AsyncIterable<string>;
	/** Whether standard input is a terminal. */
	readonly isTerminal: boolean;
	readonly write: (text: string) => void;
	readonly writeError: (text: string) => void;
	/** Creates the identifier of a command that has none. */
	readonly createOperationId: () => string;
};
