/**
 * Explains the outcome of one request from log lines: the lines with the request's id, and the
 * lines that show what its VMs knew of its targets, the configuration and the platform shortly
 * before and during the request.
 */
import * as z from 'zod';

/** Milliseconds before the request's first line in which a line about the VM's known state is still shown. */
const CONTEXT_BEFORE_MS = 5000;

const lineSchema = z.looseObject({
	time: z.string(),
	level: z.string(),
	event: z.string(),
	vm: z.string().optional(),
	request_id: z.string().optional(),
	target: z.string().optional(),
});

/** One log line. */
export type LogLine = z.output<typeof lineSchema>;

export type Explanation = {
	/** Lines that are relevant to the request, oldest first. */
	readonly lines: readonly LogLine[];
	/** The line that explains the outcome; undefined when no line has the request's id. */
	readonly decidedBy: LogLine | undefined;
};

/** Events that change what a VM knows of one target, or of the fleet and the platform. */
const contextEvents: ReadonlySet<string> = new Set([
	'target state',
	'target gone',
	'target unreachable',
	'target ended',
	'prompt part quarantined',
	'prompt part released',
	'configuration in force',
	'data centres out',
	'fleet source lost',
	'fleet source regained',
	'store call failed',
	'started',
	'leaving',
	'log lines dropped',
]);

/** Events that explain why a request ended as it did. If a request has several, the first one counts. */
const decisiveEvents: ReadonlySet<string> = new Set(['request not placed', 'request refused', 'call broke', 'answer not used']);

/** Parses a log line, which may have a prefix such as a time or a host name. */
export const parseLogLine = (text: string): LogLine | undefined => {
	const start = text.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	try {
		return lineSchema.safeParse(JSON.parse(text.slice(start))).data;
	} catch {
		return undefined;
	}
};

const timeOf = ({time}: LogLine): number => Date.parse(time);

/** Explains a request from the lines of all VMs, in any order. */
export const explainRequest = (requestId: string, lines: readonly LogLine[]): Explanation => {
	const ownLines = lines.filter(line => line.request_id === requestId).toSorted((a, b) => timeOf(a) - timeOf(b));
	const [first] = ownLines;
	const last = ownLines.at(-1);
	if (!first || !last) {
		return {lines: [], decidedBy: undefined};
	}

	const vms = new Set(ownLines.map(({vm}) => vm));
	const targets = new Set(ownLines.flatMap(({target}) => target ?? []));
	const context = lines.filter(line => contextEvents.has(line.event) && vms.has(line.vm)
		&& timeOf(line) >= timeOf(first) - CONTEXT_BEFORE_MS && timeOf(line) <= timeOf(last)
		&& (line.target === undefined || targets.has(line.target)));
	return {
		lines: [...context, ...ownLines].toSorted((a, b) => timeOf(a) - timeOf(b)),
		decidedBy: ownLines.find(({event}) => decisiveEvents.has(event)) ?? last,
	};
};
