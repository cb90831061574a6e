/** The operators' HTTP interface of one VM: statements, health and metrics. */
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {once} from 'node:events';
import polka from 'polka';
import {JackdawwoodError} from '../../core/errors/jackdawwood-error.js';
import {listen} from '../entry/listen.js';
import {parseAddress} from '../router/parse-address.js';
import {AdminPathUnknown} from './admin-errors-data.js';
import {sendError, sendJson} from './send-response.js';
import {authenticateOperator} from './authenticate-operator.js';
import {readJsonBody} from './read-json-body.js';
import {commandBody, runCommand} from './run-command.js';
import {queryBody, runQuery} from './run-query.js';
import {type Admin, type AdminOptions} from './types.js';

/** Milliseconds within which the headers and the body of a call must arrive. */
const READ_TIMEOUT_MS = 10_000;

type Handler = (req: IncomingMessage, res: ServerResponse) => Promise<void>;

/** Runs a handler; if it throws, responds with the typed error and logs it. */
const respond = async (handler: Handler, {log}: AdminOptions, req: IncomingMessage, res: ServerResponse): Promise<void> => {
	try {
		await handler(req, res);
	} catch (error) {
		const {data, message} = sendError(res, error);
		log.warn('operator call refused', {error: data.name, message, path: req.url});
	}
};

const guarded = (handler: Handler, options: AdminOptions) => (req: IncomingMessage, res: ServerResponse): void => {
	void respond(handler, options, req, res);
};

const operatorOf = (req: IncomingMessage, {currentConfig, bootstrapFromLoopback}: AdminOptions): string =>
	authenticateOperator(currentConfig(), {
		authorization: req.headers.authorization,
		remoteAddress: req.socket.remoteAddress,
		bootstrapFromLoopback,
	});

const query = (options: AdminOptions): Handler => async (req, res) => {
	operatorOf(req, options);
	const body = await readJsonBody(req, queryBody);
	sendJson(res, 200, await runQuery(body, options));
};

const command = (options: AdminOptions): Handler => async (req, res) => {
	const operator = operatorOf(req, options);
	const body = await readJsonBody(req, commandBody);
	const response = await runCommand(body, operator, options);
	options.log.info('command', {
		operator, text: body.text, operation_id: body.operation_id, version: response.version, written: response.written,
	});
	sendJson(res, 200, response);
};

const readiness = ({isReady}: AdminOptions): Handler => async (_req, res) => {
	const ready = isReady();
	sendJson(res, ready ? 200 : 503, {ready});
};

const metrics = ({registry}: AdminOptions): Handler => async (_req, res) => {
	res.writeHead(200, {'content-type': registry.contentType});
	res.end(await registry.metrics());
};

const unknownPath: Handler = async req => {
	throw new JackdawwoodError(AdminPathUnknown, {path: req.url ?? ''});
};

const route = (server: http.Server, options: AdminOptions): void => {
	const app = polka({server, onNoMatch: guarded(unknownPath, options)})
		.get('/healthz', guarded(async (_req, res) => {
			sendJson(res, 200, {healthy: true});
		}, options))
		.get('/readyz', guarded(readiness(options), options))
		.get('/metrics', guarded(metrics(options), options))
		.post('/v1/query', guarded(query(options), options))
		.post('/v1/commands', guarded(command(options), options));
	server.on('request', app.handler);
};

/** Starts the interface. Rejects when the address cannot be bound. */
export const startAdmin = async (options: AdminOptions): Promise<Admin> => {
	const server = http.createServer({headersTimeout: READ_TIMEOUT_MS, requestTimeout: READ_TIMEOUT_MS});
	route(server, options);
	const address = await listen(server, parseAddress(options.address));
	return {
		address,
		async close() {
			const closed = once(server, 'close');
			server.close();
			server.closeIdleConnections();
			await closed;
		},
	};
};
