/** Filters a message's entries down to those that differ from the last message. */
export class ChangedEntries {
	#sent = new Map<string, string>();

	/** Lets the next message list everything. */
	reset(): void {
		this.#sent = new Map();
	}

	/** True when the entry of this key was never told, or told with other values. */
	recordChange(key: string, values: Readonly<Record<string, unknown>>): boolean {
		const text = Object.values(values).join(' ');
		if (this.#sent.get(key) === text) {
			return false;
		}

		this.#sent.set(key, text);
		return true;
	}
}
