/** Runs the router daemon: loads the settings, starts the router and stops it gracefully at the first stop signal. Later signals have no effect. */
import {SettingsUnreadable} from '../../core/errors/errors-data.js';
import {isError} from '../../core/errors/jackdawwood-error.js';
import {type Settings} from '../../core/settings/schema.js';
import {faultText} from '../../core/settings/fault-text.js';
import {errorText} from '../error-text.js';
import {EXIT_INTERNAL, EXIT_OK, EXIT_SETTINGS} from '../exit-codes.js';
import {loadSettings} from '../load-settings.js';

/** A router that was started. */
export type RunningRouter = {
	/** Stops the router; resolves when all its requests have finished. */
	readonly stop: () => Promise<void>;
};

/** Functions of the surrounding process that the daemon uses. */
export type RouterProcess = {
	readonly startRouter: (settings: Settings, source: {readonly file: string}) => Promise<RunningRouter>;
	/** Resolves at the first SIGTERM or SIGINT. */
	readonly stopSignal: Promise<void>;
	readonly writeError: (text: string) => void;
};

const serve = async (file: string, routerProcess: RouterProcess): Promise<number> => {
	const {settings, faults} = await loadSettings(file);
	if (!settings) {
		routerProcess.writeError(faults.map(fault => `${faultText(fault)}\n`).join(''));
		return EXIT_SETTINGS;
	}

	const router = await routerProcess.startRouter(settings, {file});
	await routerProcess.stopSignal;
	await router.stop();
	return EXIT_OK;
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
