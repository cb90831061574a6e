/** Errors of the fleet launcher. */
import {type ErrorData} from '../../src/core/errors/types.js';

export const ProcessEnded = {
	name: 'ProcessEnded',
	title: 'A process of the fleet exited before it was ready.',
	message: ({id, code, output}) => `${id} exited with ${code} before it was ready: ${output}`,
	hint: 'The output of the process gives the cause.',
} as const satisfies ErrorData;

export const ProcessNotReady = {
	name: 'ProcessNotReady',
	title: 'A process of the fleet did not become ready in time.',
	message: ({id, timeoutMs, output}) => `${id} did not become ready within ${timeoutMs} ms: ${output}`,
	hint: 'The output of the process gives the cause.',
} as const satisfies ErrorData;

export const UnknownMember = {
	name: 'UnknownMember',
	title: 'The fleet has no such process.',
	message: ({id}) => `The fleet has no process with the id ${id}.`,
	hint: 'Use an id from the description of the fleet.',
} as const satisfies ErrorData;

export const ControlRefused = {
	name: 'ControlRefused',
	title: 'A stand-in rejected a control call.',
	message: ({url, status, body}) => `${url} responded with status ${status}: ${body}`,
	hint: 'Compare the body with the schema of the stand-in.',
} as const satisfies ErrorData;
