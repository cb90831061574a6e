/** `jackdawwood explain ID`: prints the log lines that explain the outcome of a request, out of those on standard input. */
import {explainRequest, parseLogLine, type LogLine} from '../../core/explain/explain-request.js';
import {JackdawwoodError} from '../../core/errors/jackdawwood-error.js';
import {RequestNotLogged} from '../client/client-errors-data.js';
import {type ClientIo} from '../client/client-io.js';
import {EXIT_OK} from '../exit-codes.js';

const formatFields = (fields: Readonly<Record<string, unknown>>): string =>
	Object.entries(fields).map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`).join(' ');

const formatLine = ({time, level, event, vm, request_id: _, ...fields}: LogLine): string =>
	`${time}  ${vm ?? '-'}  ${level === 'info' ? '' : `${level}: `}${event}  ${formatFields(fields)}`.trimEnd();

/** Reads all lines before it explains the request, because the logs of several VMs may follow one another and are not sorted by time. */
export const explain = async (requestId: string, {json}: {readonly json: boolean}, io: ClientIo): Promise<number> => {
	const lines: LogLine[] = [];
	for await (const text of io.lines()) {
		const line = parseLogLine(text);
		if (line) {
			lines.push(line);
		}
	}

	const explanation = explainRequest(requestId, lines);
	if (!explanation.decidedBy) {
		throw new JackdawwoodError(RequestNotLogged, {requestId, lines: lines.length});
	}

	if (json) {
		io.write(`${JSON.stringify({request_id: requestId, ...explanation})}\n`);
	} else {
		io.write(`${explanation.lines.map(line => formatLine(line)).join('\n')}\n\ndecided by: ${formatLine(explanation.decidedBy)}\n`);
	}

	return EXIT_OK;
};
