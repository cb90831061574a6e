/**
 * Every refusal that a caller can get, one entry each. In addition to the fields of every
 * error, an entry states the HTTP status, whether it is certain that the request did not run,
 * and whether the same request may succeed later.
 */
import {type ErrorData} from './types.js';

/** A failure as reported to a caller. */
export type RefusalData = ErrorData & {
	/** HTTP status of the response. */
	readonly status: number;
	/** Whether it is certain that no target has started the request. */
	readonly notRun: boolean;
	/** Whether the same request can succeed when it is sent again. */
	readonly retryable: boolean;
};

export const Unauthenticated = {
	name: 'Unauthenticated',
	title: 'The bearer token is missing or unknown.',
	message: () => 'No team has this bearer token.',
	hint: 'Send "authorization: Bearer TOKEN" with a token of your team.',
	status: 401,
	notRun: true,
	retryable: false,
} as const satisfies RefusalData;

export const BadRequest = {
	name: 'BadRequest',
	title: 'The request is not valid.',
	message: ({fault}) => `The request is not valid: ${fault}.`,
	hint: 'Correct the request; repeating it unchanged cannot succeed.',
	status: 400,
	notRun: true,
	retryable: false,
} as const satisfies RefusalData;

export const UnknownRoute = {
	name: 'UnknownRoute',
	title: 'There is nothing at this path.',
	message: ({path}) => `There is nothing at ${path}.`,
	hint: 'Use /v1/completions, /v1/chat/completions or /services/SERVICE/PATH.',
	status: 404,
	notRun: true,
	retryable: false,
} as const satisfies RefusalData;

export const UnknownService = {
	name: 'UnknownService',
	title: 'The service does not exist.',
	message: ({service}) => `There is no service ${service} of this kind.`,
	hint: 'Check the model or service name.',
	status: 404,
	notRun: true,
	retryable: false,
} as const satisfies RefusalData;

export const BodyTooLarge = {
	name: 'BodyTooLarge',
	title: 'The request body is too large.',
	message: ({limit}) => `The request body exceeds ${limit} bytes.`,
	hint: 'Send a smaller body.',
	status: 413,
	notRun: true,
	retryable: false,
} as const satisfies RefusalData;

export const HeadersTooLarge = {
	name: 'HeadersTooLarge',
	title: 'The request headers are too large.',
	message: ({limit}) => `The request headers exceed ${limit} bytes.`,
	hint: 'Send fewer or shorter headers.',
	status: 431,
	notRun: true,
	retryable: false,
} as const satisfies RefusalData;

export const ReadTimeout = {
	name: 'ReadTimeout',
	title: 'The request arrived too slowly.',
	message: ({limit}) => `The whole request did not arrive within ${limit} ms.`,
	hint: 'Send the request without pauses.',
	status: 408,
	notRun: true,
	retryable: true,
} as const satisfies RefusalData;

export const TooManyRequests = {
	name: 'TooManyRequests',
	title: 'The team has too many requests open at this VM.',
	message: ({limit}) => `The team has ${limit} requests open here, which is the limit.`,
	hint: 'Wait for answers before sending more.',
	status: 429,
	notRun: true,
	retryable: true,
} as const satisfies RefusalData;

export const VmOverloaded = {
	name: 'VmOverloaded',
	title: 'This VM has more requests than it can serve in time.',
	message: () => 'This VM is overloaded; others may have room.',
	hint: 'Come back after the time in Retry-After, on a new connection, which may reach another VM.',
	status: 503,
	notRun: true,
	retryable: true,
} as const satisfies RefusalData;

export const VmLeaving = {
	name: 'VmLeaving',
	title: 'This VM is being stopped.',
	message: () => 'The request might not end before this VM stops, so it was not started.',
	hint: 'Come back after the time in Retry-After, on a new connection, which reaches another VM.',
	status: 503,
	notRun: true,
	retryable: true,
} as const satisfies RefusalData;

export const VmOutOfMemory = {
	name: 'VmOutOfMemory',
	title: 'This VM holds too much for slow callers and targets.',
	message: () => 'This VM has no memory for another request; others may have.',
	hint: 'Come back after the time in Retry-After, on a new connection, which may reach another VM.',
	status: 503,
	notRun: true,
	retryable: true,
} as const satisfies RefusalData;

export const QueueFull = {
	name: 'QueueFull',
	title: 'The team has too many requests waiting.',
	message: ({limit}) => `The team has ${limit} requests waiting here, which is the limit.`,
	hint: 'Come back after the time in Retry-After.',
	status: 429,
	notRun: true,
	retryable: true,
} as const satisfies RefusalData;

export const DeadlinePassed = {
	name: 'DeadlinePassed',
	title: 'The deadline passed while the request was waiting.',
	message: () => 'The deadline passed before a target was free.',
	hint: 'Come back after the time in Retry-After, or allow more time.',
	status: 503,
	notRun: true,
	retryable: true,
} as const satisfies RefusalData;

export const DeadlineUnreachable = {
	name: 'DeadlineUnreachable',
	title: 'The deadline cannot be met.',
	message: ({waitMs}) => `A target would be free in about ${waitMs} ms, after the deadline.`,
	hint: 'Come back after the time in Retry-After, or allow more time.',
	status: 503,
	notRun: true,
	retryable: true,
} as const satisfies RefusalData;

export const Leaving = {
	name: 'Leaving',
	title: 'This VM is leaving.',
	message: () => 'This VM is leaving and takes no new requests.',
	hint: 'Send the request again; another VM takes it.',
	status: 503,
	notRun: true,
	retryable: true,
} as const satisfies RefusalData;

export const NoTarget = {
	name: 'NoTarget',
	title: 'No target of the service is in service.',
	message: ({service}) => `No target of ${service} is in service.`,
	hint: 'Come back after the time in Retry-After.',
	status: 503,
	notRun: true,
	retryable: true,
} as const satisfies RefusalData;

export const NotReady = {
	name: 'NotReady',
	title: 'This VM has no fleet configuration yet.',
	message: () => 'This VM has no fleet configuration yet.',
	hint: 'Send the request again; another VM takes it.',
	status: 503,
	notRun: true,
	retryable: true,
} as const satisfies RefusalData;

export const PromptQuarantined = {
	name: 'PromptQuarantined',
	title: 'The prompt has a part that ended targets.',
	message: ({part}) => `Requests with the prompt part ${part} ended several targets; no target was sent this one.`,
	hint: 'Change the prompt, or come back after the time in Retry-After.',
	status: 503,
	notRun: true,
	retryable: true,
} as const satisfies RefusalData;

export const TargetUnavailable = {
	name: 'TargetUnavailable',
	title: 'Targets kept refusing the request.',
	message: ({tries}) => `The request was refused by targets ${tries} times; nothing ran.`,
	hint: 'Come back after the time in Retry-After.',
	status: 503,
	notRun: true,
	retryable: true,
} as const satisfies RefusalData;

export const ClaimUnavailable = {
	name: 'ClaimUnavailable',
	title: 'The idempotency key could not be claimed.',
	message: () => 'Whether this idempotency key is new cannot be established now.',
	hint: 'Send the request again with the same key after the time in Retry-After.',
	status: 503,
	notRun: true,
	retryable: true,
} as const satisfies RefusalData;

export const KeyInProgress = {
	name: 'KeyInProgress',
	title: 'A request with this idempotency key has been started.',
	message: ({holder}) => `Request ${holder} holds this idempotency key; its outcome is not recorded.`,
	hint: 'This call ran nothing. Look for the outcome of the first request before using a new key.',
	status: 409,
	notRun: true,
	retryable: false,
} as const satisfies RefusalData;

export const KeyAlreadyUsed = {
	name: 'KeyAlreadyUsed',
	title: 'The idempotency key has been used.',
	message: ({holder, state}) => `Request ${holder} used this idempotency key; it ended as ${state}.`,
	hint: 'This call ran nothing. The first request with this key counts.',
	status: 409,
	notRun: true,
	retryable: false,
} as const satisfies RefusalData;

export const OutcomeUnknown = {
	name: 'OutcomeUnknown',
	title: 'Whether the request ran is unknown.',
	message: ({reason}) => `The request was sent, but its answer did not arrive: ${reason}.`,
	hint: 'Do not repeat it blindly: it may have run.',
	status: 502,
	notRun: false,
	retryable: false,
} as const satisfies RefusalData;

export const AnswerBroken = {
	name: 'AnswerBroken',
	title: 'The answer broke off.',
	message: ({reason}) => `The answer broke off and could not be resumed: ${reason}.`,
	hint: 'What arrived is not the whole answer. Send the request again.',
	status: 502,
	notRun: false,
	retryable: true,
} as const satisfies RefusalData;

export const RunTimeout = {
	name: 'RunTimeout',
	title: 'The request ran too long.',
	message: ({limit}) => `The request did not end within ${limit} ms.`,
	hint: 'Ask for a shorter answer or raise the limit of the service.',
	status: 504,
	notRun: false,
	retryable: true,
} as const satisfies RefusalData;

export const InternalFault = {
	name: 'InternalFault',
	title: 'The router failed before the request was sent.',
	message: () => 'The router failed before the request was sent.',
	hint: 'Report the request id to the operators.',
	status: 500,
	notRun: true,
	retryable: true,
} as const satisfies RefusalData;
