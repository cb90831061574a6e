/** Structured logs: one event per line, as a JSON object. */
import {createConsola, type ConsolaReporter, LogLevels} from 'consola';

export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent';

/** Fields of one event, such as `request_id`. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/**
 * Writes events to the log, each with its name and fields.
 *
 * @example
 * log.warn('answer dropped', {request_id: id, reason: 'crossed'});
 */
export type Log = Readonly<Record<'debug' | 'info' | 'warn' | 'error', (event: string, fields?: LogFields) => void>> & {
	/** Like `info`, for events of normal operation; their lines are dropped first when logs cannot be written fast enough. */
	readonly routine: (event: string, fields?: LogFields) => void;
};

/** Writes one line. Lines with `isRoutine` are the first to be dropped when the buffer fills. */
export type WriteLine = (line: string, isRoutine: boolean) => void;

const levels: Readonly<Record<LogLevel, number>> = {
	debug: LogLevels.debug,
	info: LogLevels.info,
	warn: LogLevels.warn,
	error: LogLevels.error,
	silent: LogLevels.silent,
};

/** Creates a reporter that writes each event as one line of JSON. */
const jsonReporter = (write: WriteLine): ConsolaReporter => ({
	log(entry) {
		const [event, fields, isRoutine] = entry.args as readonly unknown[];
		write(`${JSON.stringify({
			time: entry.date.toISOString(), level: entry.type, event, ...(typeof fields === 'object' && fields),
		})}\n`, isRoutine === true);
	},
});

/** Creates a log that writes events of `level` and above. */
export const createLog = (level: LogLevel, write: WriteLine, base: LogFields = {}): Log => {
	const consola = createConsola({level: levels[level], throttle: 0, reporters: [jsonReporter(write)]});
	const at = (type: 'debug' | 'info' | 'warn' | 'error') => (event: string, fields: LogFields = {}) => {
		consola[type](event, {...base, ...fields});
	};

	return {
		debug: at('debug'),
		info: at('info'),
		warn: at('warn'),
		error: at('error'),
		routine(event, fields = {}) {
			consola.info(event, {...base, ...fields}, true);
		},
	};
};

/** A log that writes nothing. */
export const silentLog: Log = createLog('silent', () => undefined);
