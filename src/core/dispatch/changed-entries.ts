/** Tracks the entries of successive messages, so that a message has to list only those that changed. */
export class ChangedEntries {
	#sent = new Map<string, string>();

	/** Makes all entries count as changed in the next message. */
	reset(): void {
		this.#sent = new Map();
	}

	/** Records the values of an entry to be sent; returns whether they differ from those sent last. */
	recordChange(key: string, values: Readonly<Record<string, unknown>>): boolean {
		const text = Object.values(values).join(' ');
		if (this.#sent.get(key) === text) {
			return false;
		}

		this.#sent.set(key, text);
		return true;
	}
}
