/** Runs the router daemon: loads the settings, starts the router and stops it gracefully at the first signal. */
import {SettingsUnreadable} from '../../core/errors/errors-data.js';
import {isError} from '../../core/errors/jackdawwood-error.js';
import {type Settings} from '../../core/settings/schema.js';
import {faultText} from '../../core/settings/fault-text.js';
import {errorText} from '../error-text.js';
import {
	EXIT_FORCED, EXIT_INTERNAL, EXIT_OK, EXIT_SETTINGS,
} from '../exit-codes.js';
import {loadSettings} from '../load-settings.js';

/** A router that was started. */
export type RunningRouter = {
	/** Stops the router; resolves when all its requests have finished. */
	readonly stop: () => Promise<void>;
};

/** Functions of the surrounding process that the daemon uses. */
export type RouterProcess = {
	readonly startRouter: (settings: Settings, source: {readonly file: string}) => Promise<RunningRouter>;
	/** Calls `listener` at each SIGTERM and SIGINT. */
	readonly onSignal: (listener: () => void) => void;
	readonly writeError: (text: string) => void;
};

const waitForSignals = async (count: number, onSignal: RouterProcess['onSignal']): Promise<void> => {
	let received = 0;
	return new Promise(resolve => {
		onSignal(() => {
			received += 1;
			if (received === count) {
				resolve();
			}
		});
	});
};

const serveUntilSignal = async (settings: Settings, file: string, {startRouter, onSignal}: RouterProcess): Promise<number> => {
	const firstSignal = waitForSignals(1, onSignal);
	const router = await startRouter(settings, {file});
	await firstSignal;
	await router.stop();
	return EXIT_OK;
};

const waitForSecondSignal = async ({onSignal}: RouterProcess): Promise<number> => {
	await waitForSignals(2, onSignal);
	return EXIT_FORCED;
};

const serve = async (file: string, routerProcess: RouterProcess): Promise<number> => {
	const {settings, faults} = await loadSettings(file);
	if (!settings) {
		routerProcess.writeError(faults.map(fault => `${faultText(fault)}\n`).join(''));
		return EXIT_SETTINGS;
	}

	return Promise.race([serveUntilSignal(settings, file, routerProcess), waitForSecondSignal(routerProcess)]);
};

/** Runs a router with the settings in `file` until a signal stops it; resolves to the exit code. */
export const runRouter = async (file: string, routerProcess: RouterProcess): Promise<number> => {
	try {
		return await serve(file, routerProcess);
	} catch (error) {
		routerProcess.writeError(`${errorText(error)}\n`);
		return isError(error, SettingsUnreadable) ? EXIT_SETTINGS : EXIT_INTERNAL;
	}
};
