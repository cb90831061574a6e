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

/** Returns an event as one line of JSON. */
const lineOf = (level: string, event: unknown, {date, fields}: {readonly date: Date; readonly fields: unknown}): string =>
	`${JSON.stringify({
		time: date.toISOString(), level, event, ...(typeof fields === 'object' && fields),
	})}\n`;

/** Creates a reporter that writes each event as one line of JSON. */
const jsonReporter = (write: WriteLine): ConsolaReporter => ({
	log({type, date, args}) {
		const [event, fields] = args as readonly unknown[];
		write(lineOf(type, event, {date, fields}), false);
	},
});

/** Creates a log that writes events of `level` and above. */
export const createLog = (level: LogLevel, write: WriteLine, base: LogFields = {}): Log => {
	const consola = createConsola({level: levels[level], throttle: 0, reporters: [jsonReporter(write)]});
	const writesRoutine = levels[level] >= LogLevels.info;
	const at = (type: 'debug' | 'info' | 'warn' | 'error') => (event: string, fields: LogFields = {}) => {
		consola[type](event, {...base, ...fields});
	};

	return {
		debug: at('debug'),
		info: at('info'),
		warn: at('warn'),
		error: at('error'),
		// Each request writes such lines, so they do not go through the library, which takes longer than the line itself.
		routine(event, fields) {
			if (writesRoutine) {
				write(lineOf('info', event, {date: new Date(), fields: {...base, ...fields}}), true);
			}
		},
	};
};

/** A log that writes nothing. */
export const silentLog: Log = createLog('silent', () => undefined);
