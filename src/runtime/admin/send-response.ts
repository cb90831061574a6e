/** Writes the HTTP responses of the operators' interface. */
import {type ServerResponse} from 'node:http';
import {JackdawwoodError} from '../../core/errors/jackdawwood-error.js';
import {AdminInternal} from './admin-errors-data.js';

const statuses: Readonly<Record<string, number>> = {
	OperatorUnknown: 401,
	AdminPathUnknown: 404,
	AdminBodyTooLarge: 413,
	ConfigConflict: 409,
	OperationIdReused: 409,
	ObjectExists: 409,
	ObjectInUse: 409,
	TokenExists: 409,
	ObjectMissing: 404,
	TokenMissing: 404,
	VersionMissing: 404,
	ConfigStoreUnavailable: 503,
	ConfigOutcomeUnknown: 504,
	AdminInternal: 500,
};

const OTHER_STATUS = 400;

export const sendJson = (res: ServerResponse, status: number, body: unknown): void => {
	res.writeHead(status, {'content-type': 'application/json'});
	res.end(`${JSON.stringify(body)}\n`);
};

const toTypedError = (err: unknown): JackdawwoodError => err instanceof JackdawwoodError
	? err
	: new JackdawwoodError(AdminInternal, {reason: err instanceof Error ? err.message : String(err)});

/** Responds with `{error: {name, title, message, hint, details}}` and returns the error. */
export const sendError = (res: ServerResponse, err: unknown): JackdawwoodError => {
	const {data, details, message} = toTypedError(err);
	const status = statuses[data.name] ?? OTHER_STATUS;
	sendJson(res, status, {
		error: {
			name: data.name, title: data.title, message, hint: data.hint, details,
		},
	});
	return toTypedError(err);
};
