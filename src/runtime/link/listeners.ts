/** Listeners of one event. One that throws stops neither the other listeners nor the caller of `notify`. */
export type Listeners<Args extends readonly unknown[]> = {
	readonly add: (listener: (...args: Args) => void) => void;
	readonly notify: (...args: Args) => void;
};

/** Creates an empty list of listeners. `onError` receives what they throw. */
export const createListeners = <Args extends readonly unknown[]>(onError: (err: Error) => void): Listeners<Args> => {
	const listeners: Array<(...args: Args) => void> = [];
	return {
		add(listener) {
			listeners.push(listener);
		},
		notify(...args) {
			for (const listener of listeners) {
				try {
					listener(...args);
				} catch (error) {
					onError(error instanceof Error ? error : new Error(String(error)));
				}
			}
		},
	};
};
