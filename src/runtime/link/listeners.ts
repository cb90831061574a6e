/** Listeners of one event. An error of one listener does not affect the other listeners or the caller of `notify`. */
export type Listeners<Args extends readonly unknown[]> = {
	readonly add: (listener: (...args: Args) => void) => void;
	readonly notify: (...args: Args) => void;
};

/** Creates an empty list of listeners. `onError` receives the errors that listeners throw. */
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
