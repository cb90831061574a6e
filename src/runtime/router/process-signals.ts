/**
 * Receives the signals of a process from its first moment to its last. Supervisors and operators repeat
 * signals and send them at any time; without a listener each would end the process at once.
 */

/** Signals that ask for a planned stop. */
const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;
/** Signal that the settings file has changed. */
const SETTINGS_SIGNAL = 'SIGHUP';

export type ProcessSignals = {
	/** Resolves at the first stop signal. Later ones have no effect: the grace period ends the process. */
	readonly stop: Promise<void>;
	/** Sets the listener for changed settings. It is called at once if a signal came before. */
	readonly onSettingsChanged: (listener: () => void) => void;
};

/** Begins to receive signals; to be called before anything that takes time. */
export const receiveSignals = (events: {readonly on: (signal: NodeJS.Signals, listener: () => void) => unknown}): ProcessSignals => {
	let hasChanged = false;
	let notify = (): void => {
		hasChanged = true;
	};

	events.on(SETTINGS_SIGNAL, () => {
		notify();
	});
	return {
		stop: new Promise(resolve => {
			for (const signal of STOP_SIGNALS) {
				events.on(signal, resolve);
			}
		}),
		onSettingsChanged(listener) {
			notify = listener;
			if (hasChanged) {
				listener();
			}
		},
	};
};
